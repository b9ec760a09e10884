package app

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/auth"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/journal"
	"buckthornseam.dev/seam/internal/limit"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/place"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/quarantine"
	"buckthornseam.dev/seam/internal/queue"
	"buckthornseam.dev/seam/internal/reports"
	"buckthornseam.dev/seam/internal/retry"
	"buckthornseam.dev/seam/internal/route"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/target"
)

// runner is a duty with a loop of its own.
type runner interface {
	Run(ctx context.Context) error
}

// drainer is a duty that hands something over before a planned stop.
type drainer interface {
	Drain(ctx context.Context) error
}

// environment is what the duties of a host share.
type environment struct {
	members   peer.Members
	caller    peer.Caller
	registrar peer.Registrar
	api       platform.API
	targets   *target.Client
	log       logrus.FieldLogger
	metrics   tally.Scope
	seed      uint64 // differs between hosts and between starts
}

// duties are the parts that a request passes.
type duties struct {
	store      *config.Store
	auth       *auth.Authenticator
	limiter    *limit.Limiter
	queue      *queue.Queue
	reports    *reports.Cache
	router     *route.Router
	placer     *place.Placer
	running    *serve.RunningRequests
	journal    *journal.Journal
	quarantine *quarantine.Quarantine
	retries    *retry.Budget
	targets    *target.Client
}

// newDuties builds the duties in the order in which they need one another.
func newDuties(env environment) (*duties, error) {
	d := &duties{targets: env.targets, running: serve.NewRunningRequests()}
	for _, build := range []func(environment) error{
		d.buildConfig, d.buildLimits, d.buildRouting, d.buildQueue, d.buildPlacement, d.buildJournal, d.buildRetries,
	} {
		if err := build(env); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *duties) buildConfig(env environment) error {
	var err error
	d.store, err = config.NewStore(config.StoreOptions{
		API: env.api, Members: env.members, Caller: env.caller, Registrar: env.registrar,
		Log: env.log, Metrics: env.metrics, Seed: env.seed,
	})
	if err != nil {
		return err
	}
	d.auth, err = auth.New(auth.Options{Config: d.store, Metrics: env.metrics})
	return err
}

func (d *duties) buildLimits(env environment) error {
	var err error
	d.limiter, err = limit.New(limit.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar, API: env.api,
		Config: d.store, Log: env.log, Metrics: env.metrics,
	})
	return err
}

func (d *duties) buildRouting(env environment) error {
	var err error
	d.reports, err = reports.New(reports.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar,
		Controller: d.targets, Config: d.store, Log: env.log, Metrics: env.metrics,
	})
	if err != nil {
		return err
	}
	d.router, err = route.New(route.Options{
		Members: env.members, Config: d.store, Reports: d.reports, Log: env.log, Metrics: env.metrics, Seed: env.seed,
	})
	return err
}

func (d *duties) buildQueue(env environment) error {
	var err error
	d.queue, err = queue.New(queue.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar,
		Config: d.store, Reports: d.reports, Router: d.router, Log: env.log, Metrics: env.metrics,
	})
	return err
}

func (d *duties) buildPlacement(env environment) error {
	var err error
	d.placer, err = place.New(place.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar, API: env.api,
		Config: d.store, Control: d.targets, Running: d.running.Counts, Log: env.log, Metrics: env.metrics,
	})
	return err
}

func (d *duties) buildJournal(env environment) error {
	var err error
	d.journal, err = journal.New(journal.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar, API: env.api,
		Log: env.log, Metrics: env.metrics,
	})
	return err
}

func (d *duties) buildRetries(env environment) error {
	var err error
	d.quarantine, err = quarantine.New(quarantine.Options{
		Members: env.members, Caller: env.caller, Registrar: env.registrar,
		Log: env.log, Metrics: env.metrics, Seed: env.seed,
	})
	if err != nil {
		return err
	}
	d.retries, err = retry.New(retry.Options{Metrics: env.metrics, Seed: env.seed})
	return err
}

// runners returns the duties that have loops.
func (d *duties) runners() []runner {
	return []runner{d.store, d.limiter, d.reports, d.router, d.queue, d.placer, d.journal, d.quarantine}
}

// drainers returns the duties to hand over, in that order: the journal before
// the limits, since a call that ends in the journal settles its tokens.
func (d *duties) drainers() []drainer {
	return []drainer{d.queue, d.placer, d.journal, d.limiter}
}

// seedOf returns a seed that differs between hosts and between starts.
func seedOf(id peer.ID) uint64 { return xxhash.Sum64String(id.String()) }

// knowsReports reports whether a load report of every engine has come. A host of
// a large fleet follows some engines only; it opens after reportsWait.
func (d *duties) knowsReports() bool {
	for name, t := range d.store.Snapshot().Targets {
		if t.Kind != config.TargetEngine || t.Leaving {
			continue
		}
		if _, _, ok := d.reports.Latest(name); !ok {
			return false
		}
	}
	return true
}
