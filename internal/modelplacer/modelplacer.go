// Package modelplacer decides which models are loaded on which engines and sends the
// orders to the engines. It does the input and output for the cores in
// coord/placement and coord/lease. Every host collects the demand for models, a
// few hosts are candidates for the decider's lease, and one of them is the decider.
//
// Safety depends on conditional updates of the placement records, not on there
// being only one decider; see coord/placement.
package modelplacer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/lease"
	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/target"
)

// Options are the dependencies and settings of a Placer.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Config    config.Source
	Control   target.Controller
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	// Running returns the number of requests of this host that run on targets,
	// by model. A model with running requests is not evicted. If Running is
	// nil, none are reported.
	Running func() map[string]int

	// Policy is the placement policy; the zero value stands for
	// placement.DefaultOptions. New sets ID and Assert.
	Policy placement.Options
}

// Placer implements serve.Placer.
type Placer struct {
	opts        Options
	start       time.Time
	id          string
	memberCount atomic.Int64 // updated every leaseInterval

	client *deciderClient
	loop   *loop
	lease  *leaseKeeper
	poller *poller
}

// MissingOptionError reports an option that New needs.
type MissingOptionError struct {
	Option string
}

func (e *MissingOptionError) Error() string { return "modelplacer: option " + e.Option + " is missing" }

// New returns a placer and registers its peer methods. The placer does no work
// of its own before Run.
func New(opts Options) (*Placer, error) {
	for option, missing := range map[string]bool{
		"Members": opts.Members == nil, "Caller": opts.Caller == nil, "Registrar": opts.Registrar == nil,
		"API": opts.API == nil, "Config": opts.Config == nil, "Control": opts.Control == nil, "Log": opts.Log == nil,
	} {
		if missing {
			return nil, &MissingOptionError{Option: option}
		}
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Running == nil {
		opts.Running = func() map[string]int { return nil }
	}
	opts.Log = opts.Log.WithField("duty", "place")
	p := &Placer{opts: opts, start: time.Now(), id: opts.Members.Self().ID.String()}
	p.loop = newLoop(p, p.policy())
	p.lease = newLeaseKeeper(p)
	p.poller = &poller{p: p, last: map[string]relayState{}}
	p.client = newDeciderClient(p)
	p.register()
	return p, nil
}

// policy returns the options of the core with this host's identity.
func (p *Placer) policy() placement.Options {
	o := p.opts.Policy
	if o.SendWindow == 0 {
		o = placement.DefaultOptions("")
	}
	// Decision ids must not repeat after a restart, so this ID contains the
	// incarnation. It must not contain the separator of order ids.
	self := p.opts.Members.Self().ID
	o.ID = self.Name + "~" + self.Incarnation
	o.Assert = func(ok bool, what placement.Invariant, detail func() string) {
		if !ok {
			invariant.Check(false, invariant.Name(what), "%s", detail())
		}
	}
	return o
}

// now returns monotonic time since New.
func (p *Placer) now() time.Duration { return time.Since(p.start) }

// Run runs the placer until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { p.loop.run(ctx); return nil })
	group.Go(func() error { p.lease.run(ctx); return nil })
	group.Go(func() error { p.poller.run(ctx); return nil })
	group.Go(func() error { p.client.run(ctx); return nil })
	return group.Wait()
}

// Drain gives up the decider's lease for a planned stop. Slots, loads in
// progress and loaded models stay as they are: the next decider learns of them
// from the records and the reports.
func (p *Placer) Drain(ctx context.Context) error {
	return p.lease.release(ctx)
}

// The interval at which hosts report their use of models grows with the number of hosts.
const (
	minUseInterval     = time.Second
	useIntervalPerHost = 20 * time.Millisecond // for each host
)

// useInterval returns the interval at which a host reports its use of models,
// such that the decider gets at most 50 of these messages a second.
func (p *Placer) useInterval() time.Duration {
	return max(minUseInterval, time.Duration(p.memberCount.Load())*useIntervalPerHost)
}

// leaseConfig returns the configuration of the decider's lease. A failed decider
// is replaced once its host has not been a live member for holderGoneAfter, and
// after TTL+DriftMargin at the latest.
func leaseConfig(holder string) lease.Config {
	return lease.Config{Holder: holder, TTL: 8 * time.Second, DriftMargin: 2 * time.Second, RenewInterval: 2 * time.Second}
}
