// Package streamorigin knows which software version of a service's targets began each recent stream. A
// stream may be resumed only at that version, and its caller may resume it at any host.
//
// A host records the streams that it begins. While a service has several versions, it also sends each record
// to a few hosts that follow from the stream's key, so that other hosts find it there, also after the loss
// of the host that began the stream. For the case that all hosts restart, each host keeps the records of its
// incomplete streams and the recent versions in the platform's store. While there is only one version, nothing is sent
// or stored.
package streamorigin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// Methods of the peer protocol.
const (
	methodStore  = "streamorigin.store"  // parameter: []record
	methodLookup = "streamorigin.lookup" // parameter: lookupRequest; result: lookupReply
)

// Options configure a Registry.
type Options struct {
	Self    string
	Hosts   func() []string                    // names of the hosts, including this one; empty: not known yet
	Targets func() fleet.Dated[*fleet.Targets] // by the clock Now
	Calls   peer.Caller
	Store   Store // nil: nothing is stored
	// StoreInterval returns the shortest time between two writes of this host, so that all hosts together stay within a
	// share of what the store allows.
	StoreInterval func() time.Duration
	Now           func() time.Duration // also advances while the machine is suspended
	Log           logrus.FieldLogger
}

// Registry records the versions of streams and finds them.
type Registry struct {
	opts      Options
	startedAt time.Duration
	outbox    *outbox
	storage   storage

	mu      sync.Mutex
	records *records
	history versionHistory
	open    map[streamKey]openStream
}

// openStream is a stream of this host that is not complete.
type openStream struct {
	record
	sent bool // to other hosts
}

// New returns a registry. Records are sent to other hosts and stored only while Run runs.
func New(opts Options) *Registry {
	now := opts.Now()
	return &Registry{opts: opts, startedAt: now, outbox: newOutbox(opts.Calls, opts.Log), records: newRecords(now), open: map[streamKey]openStream{}, storage: newStorage()}
}

// Register registers the methods that other hosts call.
func (r *Registry) Register(reg peer.Registrar) {
	reg.Handle(methodStore, func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var recs []record
		if err := json.Unmarshal(params, &recs); err != nil {
			return nil, err
		}
		r.store(recs)
		return struct{}{}, nil
	})
	reg.Handle(methodLookup, func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var req lookupRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		reply, _ := r.localLookup(req)
		return reply, nil
	})
}

func (r *Registry) store(recs []record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range recs {
		r.records.put(rec, r.opts.Now())
	}
}

// observeInterval is the time between two looks at the registered targets. A target stays registered for
// several times as long.
const observeInterval = 250 * time.Millisecond

// Run sends records to other hosts and stores them until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	var storing sync.WaitGroup
	defer storing.Wait()
	if r.opts.Store != nil {
		storing.Go(func() { r.runStorage(ctx) })
	}
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.shareRecords()
		case host := <-r.outbox.ready:
			r.outbox.send(ctx, host)
		}
	}
}

// shareRecords sends the records of streams that began before their service had several versions, and has this host's
// object in the store written if there is or should be one.
func (r *Registry) shareRecords() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	for key, stream := range r.open {
		if _, ok := r.records.get(key, r.opts.Now()); !ok {
			delete(r.open, key)
		} else if !stream.sent && r.severalVersions(stream.Service) {
			r.send(stream.record)
			r.open[key] = openStream{stream.record, true}
		}
	}
	if r.storage.exists.Load() || slices.ContainsFunc(r.history.services(), r.severalVersions) {
		r.storage.change()
	}
}

// Began records that a target of the given version sent the first event of a stream. The stream is identified
// by the ID of the attempt that brought the event.
func (r *Registry) Began(service, attempt, version string) {
	rec := record{Key: keyOf(attempt), Service: service, Version: version}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	r.records.put(rec, r.opts.Now())
	several := r.severalVersions(service)
	if several {
		r.send(rec)
		r.storage.change()
	}
	r.open[rec.Key] = openStream{rec, several}
}

// Completed records that the whole stream of an attempt was relayed, so that no caller will resume it.
func (r *Registry) Completed(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, keyOf(attempt))
}

// observe updates the version history, and returns when the list of targets that it has seen was last known to be the newest. The
// caller must hold r.mu.
func (r *Registry) observe() (currentAt time.Duration) {
	targets := r.opts.Targets()
	r.history.observe(targets.Copy, r.opts.Now())
	return targets.CurrentAt
}

// severalVersions reports whether a service had several versions lately. The caller must hold r.mu.
func (r *Registry) severalVersions(service string) bool {
	return len(r.history.of(service, r.opts.Now())) > 1
}

func (r *Registry) send(rec record) {
	for _, host := range rank(rec.Key, r.opts.Hosts(), r.opts.Self, copies) {
		r.outbox.add(host, rec)
	}
}
