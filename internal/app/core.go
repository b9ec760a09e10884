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
	"buckthornseam.dev/seam/internal/modelplacer"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/quarantine"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/target"
)

// Dependencies are the clients and services that the components of a host use.
type Dependencies struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Targets   *target.Client
	Log       logrus.FieldLogger
	Metrics   tally.Scope
}

// Core is an entry host without its listeners: all components and the handler
// that uses them.
type Core struct {
	Handler    *serve.Handler
	Config     *config.Store
	Placer     *modelplacer.Placer
	Quarantine *quarantine.Quarantine

	log        logrus.FieldLogger
	components *components
	opened     atomic.Bool
}

// NewCore builds the components. Their loops start with Run.
func NewCore(deps Dependencies, limits settings.Requests) (*Core, error) {
	seed := hostSeed(deps.Members.Self().ID)
	c, err := newComponents(componentDeps{
		members: deps.Members, caller: deps.Caller, registrar: deps.Registrar, api: deps.API,
		targets: deps.Targets, log: deps.Log, metrics: deps.Metrics, seed: seed,
	})
	if err != nil {
		return nil, err
	}
	handler := serve.New(serve.Options{
		Config:        c.store,
		Auth:          c.auth,
		Limits:        c.limiter,
		Queue:         c.queue,
		Placer:        c.placer,
		Router:        c.router,
		Journal:       c.journal,
		Quarantine:    c.quarantine,
		Retries:       c.retries,
		Sender:        c.targets,
		Running:       c.running,
		EntryHosts:    entry.New(deps.Members, milliseconds(limits.HostListTTLMS), seed),
		Log:           deps.Log,
		Metrics:       deps.Metrics,
		BodyBytes:     limits.BodyBytes,
		Deadline:      milliseconds(limits.DeadlineMS),
		TokenGap:      milliseconds(limits.TokenGapMS),
		MaxConcurrent: limits.MaxConcurrent,
	})
	return &Core{
		Handler: handler, Config: c.store, Placer: c.placer, Quarantine: c.quarantine,
		log: deps.Log, components: c,
	}, nil
}

// Run runs the loops of the components until ctx ends.
func (c *Core) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, r := range c.components.runners() {
		group.Go(func() error { return r.Run(ctx) })
	}
	group.Go(func() error {
		c.openWhenReady(ctx)
		return nil
	})
	return group.Wait()
}

// Timing of the start of a host.
const (
	openPollInterval = 20 * time.Millisecond
	maxReportsWait   = 2 * time.Second // for the first load reports, once the configuration is confirmed
)

// openWhenReady lets the handler accept requests once the configuration is
// confirmed and load reports have arrived.
func (c *Core) openWhenReady(ctx context.Context) {
	tick := time.NewTicker(openPollInterval)
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
			if c.components.hasAllReports() || now.Sub(confirmed) > maxReportsWait {
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
	// Draining has its own timeout, however long the requests took.
	c.drain(context.WithoutCancel(ctx))
	return left
}

// drainTimeout bounds the draining of one component, so that a host without a
// successor, such as the last one of a deployment, stops all the same.
const drainTimeout = 5 * time.Second

// drain hands over what this host owns to other hosts.
func (c *Core) drain(ctx context.Context) {
	for _, d := range c.components.drainers() {
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		if err := d.Drain(drainCtx); err != nil {
			c.log.WithField("event", "drain_incomplete").Warn(err.Error())
		}
		cancel()
	}
}
