// Package place decides which models are loaded on which engines and gives the
// orders. It is the shell round coord/placement and coord/lease: every host
// takes requests for models, a few hosts stand ready to decide, one decides.
//
// Safety rests on conditional updates of the placement records, not on there
// being one decider; see coord/placement.
package place

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

// Options are what a Placer works with.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Config    config.Source
	Control   target.Controller
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	// Running returns the requests that this host has at targets, by model.
	// A model with running requests is not evicted. Nil means none are told.
	Running func() map[string]int

	// Policy is the placement policy; the zero value stands for
	// placement.DefaultOptions. ID and Assert are filled in.
	Policy placement.Options
}

// Placer implements serve.Placer.
type Placer struct {
	opts  Options
	start time.Time
	id    string
	hosts atomic.Int64 // members, counted now and then

	host  *hostSide
	loop  *loop
	lease *leaseKeeper
	polls *poller
}

// MissingOptionError reports an option that New needs.
type MissingOptionError struct {
	Option string
}

func (e *MissingOptionError) Error() string { return "place: option " + e.Option + " is missing" }

// New returns a placer and registers its peer methods. It does nothing before
// Run.
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
	p.polls = &poller{p: p, last: map[string]sent{}}
	p.host = newHostSide(p)
	p.register()
	return p, nil
}

// policy returns the options of the core with this host's identity.
func (p *Placer) policy() placement.Options {
	o := p.opts.Policy
	if o.SendWindow == 0 {
		o = placement.DefaultOptions("")
	}
	// A decision id must not repeat after a restart, so the incarnation is
	// part of it. The separator of order ids must not occur in it.
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

// Run works until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { p.loop.run(ctx); return nil })
	group.Go(func() error { p.lease.run(ctx); return nil })
	group.Go(func() error { p.polls.run(ctx); return nil })
	group.Go(func() error { p.host.run(ctx); return nil })
	return group.Wait()
}

// Drain gives up the decider's lease for a planned stop. Slots, loads under
// way and loaded models stay as they are: the next decider finds them in the
// records and in the reports.
func (p *Placer) Drain(ctx context.Context) error {
	return p.lease.release(ctx)
}

// Interval of what hosts tell the decider, for few and for many hosts.
const (
	useInterval    = time.Second
	useIntervalPer = 20 * time.Millisecond // for each host
)

// interval returns how often a host tells the decider about its use of models,
// so that the decider hears from at most 50 hosts a second.
func (p *Placer) interval() time.Duration {
	return max(useInterval, time.Duration(p.hosts.Load())*useIntervalPer)
}

// leaseConfig returns the times of the decider's lease. A decider that dies is
// replaced as soon as its host is no longer a live member, and after TTL+Guard
// at the latest.
func leaseConfig(holder string) lease.Config {
	return lease.Config{Holder: holder, TTL: 8 * time.Second, DriftMargin: 2 * time.Second, RenewInterval: 2 * time.Second}
}
