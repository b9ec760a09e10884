package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/callerclient"
)

// Options configure a run.
type Options struct {
	Seeds    []string // addresses of the entry hosts that callers contact first
	Zones    []string // availability zones, assigned to the callers in turn
	Mode     callerclient.Mode
	Callers  int           // independent clients
	Timeout  time.Duration // of one request
	Progress func(done, total int)
}

// client is one caller with its statistics.
type client struct {
	*callerclient.Client

	mu     sync.Mutex
	lastOK time.Time
	maxGap time.Duration // longest interruption of service, see record
}

// record updates the longest interruption of service that this caller has seen. Each
// successful request counts with the time since the previous success or since its own
// start, whichever is shorter.
func (c *client) record(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Class != ClassOK {
		return
	}
	end := r.Start.Add(r.Total)
	if r.Start.After(c.lastOK) && !c.lastOK.IsZero() {
		// The caller may have sent nothing since the previous success, which is no
		// interruption.
		c.lastOK = r.Start
	}
	if !c.lastOK.IsZero() {
		c.maxGap = max(c.maxGap, end.Sub(c.lastOK))
	}
	c.lastOK = end
}

// Run sends each request at its time and returns a summary of the outcomes.
func Run(ctx context.Context, opts Options, requests []Request) (*Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clients, err := startClients(ctx, opts)
	if err != nil {
		return nil, err
	}
	sum := newSummary()
	var wait sync.WaitGroup
	start := time.Now()
	for n, r := range requests {
		if !sleepUntil(ctx, start.Add(time.Duration(r.AtMS)*time.Millisecond)) {
			break
		}
		c := clients[n%len(clients)]
		wait.Go(func() {
			reqCtx, cancelRequest := context.WithTimeout(ctx, opts.Timeout)
			defer cancelRequest()
			res := Do(reqCtx, c.Client, n, r)
			c.record(res)
			sum.record(res)
		})
		if opts.Progress != nil {
			opts.Progress(n+1, len(requests))
		}
	}
	wait.Wait()
	sum.finish(time.Since(start), clients)
	return sum, nil
}

func startClients(ctx context.Context, opts Options) ([]*client, error) {
	clients := make([]*client, opts.Callers)
	for i := range clients {
		zone := ""
		if len(opts.Zones) > 0 {
			zone = opts.Zones[i%len(opts.Zones)]
		}
		// Callers start with different seeds, as independently configured
		// callers do.
		seeds := append(append([]string{}, opts.Seeds[i%len(opts.Seeds):]...), opts.Seeds[:i%len(opts.Seeds)]...)
		cc, err := callerclient.New(callerclient.Options{Seeds: seeds, Zone: zone, Mode: opts.Mode})
		if err != nil {
			return nil, err
		}
		c := &client{Client: cc}
		clients[i] = c
		if opts.Mode == callerclient.ModeTwo {
			go c.KeepStandbyOpen(ctx)
		}
	}
	return clients, nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// SteadyLoad describes a load with a constant mean rate.
type SteadyLoad struct {
	Rate         float64 // requests a second
	Duration     time.Duration
	StreamShare  float64   // share of the model requests that are streamed
	Models       []Request // model requests to draw from
	Services     []Request // service requests to draw from
	ServiceShare float64   // share of service requests
	Seed         uint64
}

// GenerateSteady returns the requests of a steady load, with exponentially
// distributed times between them.
func GenerateSteady(l SteadyLoad) []Request {
	rng := rand.New(rand.NewPCG(l.Seed, 3))
	var out []Request
	for at := 0.0; at < l.Duration.Seconds(); at += rng.ExpFloat64() / l.Rate {
		var r Request
		if len(l.Services) > 0 && rng.Float64() < l.ServiceShare {
			r = l.Services[rng.IntN(len(l.Services))]
			r.IdempotencyKey = fmt.Sprintf("load-%d-%d", l.Seed, len(out))
		} else {
			r = l.Models[rng.IntN(len(l.Models))]
			r.Stream = rng.Float64() < l.StreamShare
		}
		r.AtMS = int64(at * 1000)
		out = append(out, r)
	}
	return out
}
