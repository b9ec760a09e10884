package streamorigin

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// kindOrigins holds one object per host. It tells, for the case that all hosts restart, which versions the services had
// lately and which of them began the host's incomplete streams.
const kindOrigins platform.Kind = "seam-stream-origins"

// Times of the objects in the store.
const (
	minStoreInterval = 200 * time.Millisecond // between two writes of a host: a fraction of the length of a short stream
	storeRefresh     = 10 * time.Second       // an object that does not change is written again; leaves two thirds of retention
	storeRetryDelay  = time.Second            // after a call that failed
	forgetAfter      = time.Hour              // objects of hosts that are gone are removed
)

// writesPerRead is the number of intervals between two writes of a host in which it reads all objects at most once.
const writesPerRead = 5

// Store is the part of the platform's object API that holds the objects.
type Store interface {
	List(ctx context.Context, kind platform.Kind, stale bool) (platform.List, error)
	Put(ctx context.Context, obj platform.Object) (platform.Object, error)
	Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error
}

// storedService is what an object holds of a service.
type storedService struct {
	// Seen tells when each recent version was last registered, in Unix milliseconds by the clock of the writer.
	Seen    map[string]int64    `json:"seen"`
	Streams map[string][]string `json:"streams,omitempty"` // keys of incomplete streams, in base 36, by version
}

// storedOrigins is the data of an object.
type storedOrigins struct {
	WrittenMS int64                    `json:"written_ms"`
	Services  map[string]storedService `json:"services"`
}

// sameContent reports whether two objects tell the same, apart from times.
func (s storedOrigins) sameContent(o storedOrigins) bool {
	return maps.EqualFunc(s.Services, o.Services, func(a, b storedService) bool {
		return reflect.DeepEqual(a.Streams, b.Streams) && maps.EqualFunc(a.Seen, b.Seen, func(int64, int64) bool { return true })
	})
}

// storage keeps this host's object and reads those of all hosts.
type storage struct {
	changed chan struct{} // the object may have to be written
	exists  atomic.Bool   // the store holds an object of this host, as far as this process knows

	turn     chan struct{} // held during calls to the store, with all that follows
	read     bool          // since this process started
	readAt   time.Duration
	known    bool             // version is that of this host's object
	version  platform.Version // 0: there is none
	written  storedOrigins
	previous []record // of the process before this one, kept until previousEnd
	// previousEnd is when no caller can take up a stream of the process before this one.
	previousEnd time.Duration
}

func newStorage() storage {
	return storage{changed: make(chan struct{}, 1), turn: make(chan struct{}, 1)}
}

// begin waits for the turn to call the store.
func (s *storage) begin(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *storage) end() { <-s.turn }

// change announces that this host's object may have to be written.
func (s *storage) change() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// recall reads what all hosts have stored, unless that was done within maxAge.
func (r *Registry) recall(ctx context.Context, maxAge time.Duration) error {
	s := &r.storage
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.end()
	if r.opts.Store == nil || s.read && r.opts.Now()-s.readAt < maxAge {
		return nil
	}
	return r.readStored(ctx)
}

// readStored must be called by the holder of the turn.
func (r *Registry) readStored(ctx context.Context) error {
	began := r.opts.Now()
	list, err := r.opts.Store.List(ctx, kindOrigins, false)
	if err != nil {
		return err
	}
	s := &r.storage
	first := !s.read
	own := platform.Version(0)
	for _, obj := range list.Items {
		var stored storedOrigins
		if err := json.Unmarshal(obj.Data, &stored); err != nil {
			r.opts.Log.WithFields(logrus.Fields{"event": "stream_origins_unreadable", "object": obj.Name}).Warn(err.Error())
			if obj.Name == r.opts.Self {
				own = obj.Version
			}
			continue
		}
		recs := r.learn(stored)
		if obj.Name == r.opts.Self {
			own = obj.Version
			if first {
				s.previous, s.previousEnd = recs, began+retention
			}
		} else if age := time.Since(time.UnixMilli(stored.WrittenMS)); age > forgetAfter {
			_ = r.opts.Store.Delete(ctx, kindOrigins, obj.Name, obj.Version) // another host may have done so
		}
	}
	s.read, s.readAt, s.known, s.version = true, began, true, own
	s.exists.Store(own > 0)
	r.opts.Log.WithFields(logrus.Fields{"event": "stream_origins_read", "objects": len(list.Items), "first": first}).Info("read the versions of streams that hosts have stored")
	return nil
}

// learn adds what an object tells, and returns the records of its streams.
func (r *Registry) learn(stored storedOrigins) []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var recs []record
	for service, s := range stored.Services {
		for version, at := range s.Seen {
			r.history.recall(service, version, now-max(0, time.Since(time.UnixMilli(at))))
		}
		for version, keys := range s.Streams {
			for _, key := range keys {
				n, err := strconv.ParseUint(key, 36, 64)
				if err != nil {
					continue // from another build
				}
				rec := record{Key: streamKey(n), Service: service, Version: version}
				recs = append(recs, rec)
				if _, ok := r.records.get(rec.Key, now); !ok {
					r.records.put(rec, now)
				}
			}
		}
	}
	return recs
}

// toStore returns what this host's object should hold. It has no services if each had a single version lately.
func (r *Registry) toStore(previous []record) storedOrigins {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	now, wall := r.opts.Now(), time.Now()
	out := storedOrigins{WrittenMS: wall.UnixMilli(), Services: map[string]storedService{}}
	for _, service := range r.history.services() {
		if !r.severalVersions(service) {
			continue
		}
		s := storedService{Seen: map[string]int64{}, Streams: map[string][]string{}}
		for version, age := range r.history.ages(service, now) {
			s.Seen[version] = wall.Add(-age).UnixMilli()
		}
		out.Services[service] = s
	}
	add := func(rec record) {
		if s, ok := out.Services[rec.Service]; ok {
			s.Streams[rec.Version] = append(s.Streams[rec.Version], strconv.FormatUint(uint64(rec.Key), 36))
		}
	}
	for _, stream := range r.open {
		add(stream.record)
	}
	for _, rec := range previous {
		if _, ok := r.open[rec.Key]; !ok {
			add(rec)
		}
	}
	for _, s := range out.Services {
		for _, keys := range s.Streams {
			slices.Sort(keys)
		}
	}
	return out
}

// writeStored writes or removes this host's object if what it tells has changed or grows old.
func (r *Registry) writeStored(ctx context.Context) error {
	s := &r.storage
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.end()
	if r.opts.Now() >= s.previousEnd {
		s.previous = nil
	}
	next := r.toStore(s.previous)
	if !s.outdated(next) {
		return nil
	}
	if !s.known {
		if err := r.readStored(ctx); err != nil {
			return err
		}
		next = r.toStore(s.previous)
	}
	if err := r.replaceStored(ctx, next); err != nil {
		s.known = false // the object may have changed, or the store was restored
		return err
	}
	s.written = next
	s.exists.Store(s.version > 0)
	return nil
}

// outdated reports whether next has to replace this host's object, or to remove it.
func (s *storage) outdated(next storedOrigins) bool {
	if len(next.Services) == 0 {
		return s.exists.Load()
	}
	age := time.Duration(next.WrittenMS-s.written.WrittenMS) * time.Millisecond
	return !next.sameContent(s.written) || age >= storeRefresh
}

// replaceStored must be called by the holder of the turn.
func (r *Registry) replaceStored(ctx context.Context, next storedOrigins) error {
	s := &r.storage
	if len(next.Services) == 0 {
		if s.version == 0 {
			return nil
		}
		if err := r.opts.Store.Delete(ctx, kindOrigins, r.opts.Self, s.version); err != nil {
			return err
		}
		s.version = 0
		return nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	obj, err := r.opts.Store.Put(ctx, platform.Object{Kind: kindOrigins, Name: r.opts.Self, Version: s.version, Data: data})
	if err != nil {
		return err
	}
	s.version = obj.Version
	return nil
}

// storeInterval returns the time between two writes of this host.
func (r *Registry) storeInterval() time.Duration {
	if r.opts.StoreInterval == nil {
		return minStoreInterval
	}
	return max(minStoreInterval, r.opts.StoreInterval())
}

// runStorage keeps this host's object up to date until ctx ends. It sleeps while services have a single version.
func (r *Registry) runStorage(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.storage.changed:
		}
		pause := r.storeInterval()
		if err := r.writeStored(ctx); err != nil {
			r.opts.Log.WithField("event", "stream_origins_not_stored").Warn(err.Error())
			pause = storeRetryDelay
			r.storage.change()
		}
		if !ctxsleep.Sleep(ctx, pause) {
			return
		}
	}
}
