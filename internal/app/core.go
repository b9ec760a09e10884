package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/entry"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/place"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/quarantine"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/target"
)

// Dependencies is what the duties of a host reach the outside through.
type Dependencies struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Targets   *target.Client
	Log       logrus.FieldLogger
	Metrics   tally.Scope
}

// Core is one entry host without its sockets: all duties and the handler that
// they serve.
type Core struct {
	Handler    *serve.Handler
	Config     *config.Store
	Placer     *place.Placer
	Quarantine *quarantine.Quarantine

	log    logrus.FieldLogger
	duties *duties
	opened atomic.Bool
}

// NewCore builds the duties. They do nothing before Run.
func NewCore(env Dependencies, bounds settings.Requests) (*Core, error) {
	seed := seedOf(env.Members.Self().ID)
	d, err := newDuties(environment{
		members: env.Members, caller: env.Caller, registrar: env.Registrar, api: env.API,
		targets: env.Targets, log: env.Log, metrics: env.Metrics, seed: seed,
	})
	if err != nil {
		return nil, err
	}
	handler := serve.New(serve.Options{
		Config:        d.store,
		Auth:          d.auth,
		Limits:        d.limiter,
		Queue:         d.queue,
		Placer:        d.placer,
		Router:        d.router,
		Journal:       d.journal,
		Quarantine:    d.quarantine,
		Retries:       d.retries,
		Sender:        d.targets,
		Running:       d.running,
		EntryHosts:    entry.New(env.Members, milliseconds(bounds.AnswerLifeMS), seed),
		Log:           env.Log,
		Metrics:       env.Metrics,
		BodyBytes:     bounds.BodyBytes,
		Deadline:      milliseconds(bounds.DeadlineMS),
		TokenGap:      milliseconds(bounds.TokenGapMS),
		MaxConcurrent: bounds.MaxConcurrent,
	})
	return &Core{
		Handler: handler, Config: d.store, Placer: d.placer, Quarantine: d.quarantine,
		log: env.Log, duties: d,
	}, nil
}

// Run runs the loops of the duties until ctx ends.
func (c *Core) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range c.duties.runners() {
		group.Go(func() error { return d.Run(ctx) })
	}
	group.Go(func() error {
		c.open(ctx)
		return nil
	})
	return group.Wait()
}

// Bounds on the start of a host.
const (
	openPoll    = 20 * time.Millisecond
	reportsWait = 2 * time.Second // for the first load reports, once the configuration is known
)

// open lets requests in once the configuration is confirmed and load reports
// have come.
func (c *Core) open(ctx context.Context) {
	tick := time.NewTicker(openPoll)
	defer tick.Stop()
	var confirmed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if !c.Config.Accepting() {
				confirmed = time.Time{}
				continue
			}
			if confirmed.IsZero() {
				confirmed = now
			}
			if c.duties.knowsReports() || now.Sub(confirmed) > reportsWait {
				c.opened.Store(true)
				c.Handler.Open()
				return
			}
		}
	}
}

// Ready reports whether the host has opened and may act on its configuration.
func (c *Core) Ready() bool { return c.opened.Load() && c.Config.Accepting() }

// Shutdown refuses new requests, waits for those in progress and hands over what
// this host owns. It returns the number of requests still in progress when ctx
// ended.
func (c *Core) Shutdown(ctx context.Context) int {
	c.Handler.Stop()
	left := c.Handler.Wait(ctx)
	// The hand-over has time of its own, however long the requests took.
	c.handOver(context.WithoutCancel(ctx))
	return left
}

// handOverTimeout bounds the hand-over of one duty: a host that finds nobody to
// hand to, as the last one of a deployment, stops all the same.
const handOverTimeout = 5 * time.Second

// handOver gives what this host owns to the others.
func (c *Core) handOver(ctx context.Context) {
	for _, d := range c.duties.drainers() {
		step, cancel := context.WithTimeout(ctx, handOverTimeout)
		if err := d.Drain(step); err != nil {
			c.log.WithField("event", "drain_incomplete").Warn(err.Error())
		}
		cancel()
	}
}
