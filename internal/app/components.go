package app

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/enginereports"
	"buckthornseam.dev/seam/internal/journal"
	"buckthornseam.dev/seam/internal/keyauth"
	"buckthornseam.dev/seam/internal/limit"
	"buckthornseam.dev/seam/internal/modelplacer"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/quarantine"
	"buckthornseam.dev/seam/internal/queue"
	"buckthornseam.dev/seam/internal/retry"
	"buckthornseam.dev/seam/internal/route"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/target"
)

// runner is a component with its own loop.
type runner interface {
	Run(ctx context.Context) error
}

// drainer is a component that hands over state or finishes work before a planned
// stop.
type drainer interface {
	Drain(ctx context.Context) error
}

// componentDeps are the Dependencies and the seed that the components share.
type componentDeps struct {
	members   peer.Members
	caller    peer.Caller
	registrar peer.Registrar
	api       platform.API
	targets   *target.Client
	log       logrus.FieldLogger
	metrics   tally.Scope
	seed      uint64 // differs between hosts and between starts
}

// components are the parts of a host that process requests.
type components struct {
	store      *config.Store
	auth       *keyauth.Authenticator
	limiter    *limit.Limiter
	queue      *queue.Queue
	reports    *enginereports.Cache
	router     *route.Router
	placer     *modelplacer.Placer
	running    *serve.RunningRequests
	journal    *journal.Journal
	quarantine *quarantine.Quarantine
	retries    *retry.Budget
	targets    *target.Client
}

// newComponents builds the components in the order in which they depend on one
// another.
func newComponents(deps componentDeps) (*components, error) {
	c := &components{targets: deps.targets, running: serve.NewRunningRequests()}
	for _, build := range []func(componentDeps) error{
		c.buildConfig, c.buildLimits, c.buildRouting, c.buildQueue, c.buildPlacement, c.buildJournal, c.buildRetries,
	} {
		if err := build(deps); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *components) buildConfig(deps componentDeps) error {
	var err error
	c.store, err = config.NewStore(config.StoreOptions{
		API: deps.api, Members: deps.members, Caller: deps.caller, Registrar: deps.registrar,
		Log: deps.log, Metrics: deps.metrics, Seed: deps.seed,
	})
	if err != nil {
		return err
	}
	c.auth, err = keyauth.New(keyauth.Options{Config: c.store, Metrics: deps.metrics})
	return err
}

func (c *components) buildLimits(deps componentDeps) error {
	var err error
	c.limiter, err = limit.New(limit.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar, API: deps.api,
		Config: c.store, Log: deps.log, Metrics: deps.metrics,
	})
	return err
}

func (c *components) buildRouting(deps componentDeps) error {
	var err error
	c.reports, err = enginereports.New(enginereports.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar,
		Controller: c.targets, Config: c.store, Log: deps.log, Metrics: deps.metrics,
	})
	if err != nil {
		return err
	}
	c.router, err = route.New(route.Options{
		Members: deps.members, Config: c.store, Reports: c.reports, Log: deps.log, Metrics: deps.metrics, Seed: deps.seed,
	})
	return err
}

func (c *components) buildQueue(deps componentDeps) error {
	var err error
	c.queue, err = queue.New(queue.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar,
		Config: c.store, Reports: c.reports, Router: c.router, Log: deps.log, Metrics: deps.metrics,
	})
	return err
}

func (c *components) buildPlacement(deps componentDeps) error {
	var err error
	c.placer, err = modelplacer.New(modelplacer.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar, API: deps.api,
		Config: c.store, Control: c.targets, Running: c.running.Counts, Log: deps.log, Metrics: deps.metrics,
	})
	return err
}

func (c *components) buildJournal(deps componentDeps) error {
	var err error
	c.journal, err = journal.New(journal.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar, API: deps.api,
		Log: deps.log, Metrics: deps.metrics,
	})
	return err
}

func (c *components) buildRetries(deps componentDeps) error {
	var err error
	c.quarantine, err = quarantine.New(quarantine.Options{
		Members: deps.members, Caller: deps.caller, Registrar: deps.registrar,
		Log: deps.log, Metrics: deps.metrics, Seed: deps.seed,
	})
	if err != nil {
		return err
	}
	c.retries, err = retry.New(retry.Options{Metrics: deps.metrics, Seed: deps.seed})
	return err
}

// runners returns the components that have loops.
func (c *components) runners() []runner {
	return []runner{c.store, c.limiter, c.reports, c.router, c.queue, c.placer, c.journal, c.quarantine}
}

// drainers returns the components to drain, in that order. The journal comes
// before the limits because a call that ends in the journal settles its tokens.
func (c *components) drainers() []drainer {
	return []drainer{c.queue, c.placer, c.journal, c.limiter}
}

// hostSeed returns a seed that differs between hosts and between starts.
func hostSeed(id peer.ID) uint64 { return xxhash.Sum64String(id.String()) }

// hasAllReports reports whether a load report of every engine has arrived. A host
// of a large fleet receives reports of some engines only, and therefore opens
// after maxReportsWait.
func (c *components) hasAllReports() bool {
	for name, t := range c.store.Snapshot().Targets {
		if t.Kind != config.TargetEngine || t.Leaving {
			continue
		}
		if _, _, ok := c.reports.Latest(name); !ok {
			return false
		}
	}
	return true
}
