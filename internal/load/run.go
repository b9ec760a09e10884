package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/caller"
)

// Options configure a run.
type Options struct {
	Seeds    []string // entry hosts to ask first
	Zones    []string // callers are spread over these
	Mode     caller.Mode
	Callers  int           // independent clients
	Timeout  time.Duration // of one request
	Progress func(done, total int)
}

// client is one caller with its statistics.
type client struct {
	*caller.Client

	mu     sync.Mutex
	lastOK time.Time
	maxGap time.Duration // longest time without a success while asking
}

// note records when a request of this caller succeeded, for the interruption
// of service that it saw.
func (c *client) note(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Class != ClassOK {
		return
	}
	end := r.Start.Add(r.Total)
	if r.Start.After(c.lastOK) && !c.lastOK.IsZero() {
		// A caller that sent nothing was not interrupted: the wait
		// counts from the start of the request that succeeded.
		c.lastOK = r.Start
	}
	if !c.lastOK.IsZero() {
		c.maxGap = max(c.maxGap, end.Sub(c.lastOK))
	}
	c.lastOK = end
}

// Run sends the requests at their times and returns the sum of the outcomes.
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
			one, done := context.WithTimeout(ctx, opts.Timeout)
			defer done()
			res := Do(one, c.Client, n, r)
			c.note(res)
			sum.add(res)
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
		// Each caller starts with another seed, as callers configured by
		// different people do.
		seeds := append(append([]string{}, opts.Seeds[i%len(opts.Seeds):]...), opts.Seeds[:i%len(opts.Seeds)]...)
		each, err := caller.New(caller.Options{Seeds: seeds, Zone: zone, Mode: opts.Mode})
		if err != nil {
			return nil, err
		}
		c := &client{Client: each}
		clients[i] = c
		if opts.Mode == caller.ModeTwo {
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

// SteadyLoad describes a steady load.
type SteadyLoad struct {
	Rate         float64 // requests a second
	Duration     time.Duration
	StreamShare  float64 // of model requests
	Models       []Request
	Services     []Request // used for ServiceShare of the requests
	ServiceShare float64   // share of service requests
	Seed         uint64
}

// GenerateSteady returns the requests of a steady load with exponential gaps.
func GenerateSteady(m SteadyLoad) []Request {
	rng := rand.New(rand.NewPCG(m.Seed, 3))
	var out []Request
	for at := 0.0; at < m.Duration.Seconds(); at += rng.ExpFloat64() / m.Rate {
		var r Request
		if len(m.Services) > 0 && rng.Float64() < m.ServiceShare {
			r = m.Services[rng.IntN(len(m.Services))]
			r.IdempotencyKey = fmt.Sprintf("load-%d-%d", m.Seed, len(out))
		} else {
			r = m.Models[rng.IntN(len(m.Models))]
			r.Stream = rng.Float64() < m.StreamShare
		}
		r.AtMS = int64(at * 1000)
		out = append(out, r)
	}
	return out
}
