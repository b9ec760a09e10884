package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/platform"
)

// watchCheck is the time between checks whether this host should watch.
const watchCheck = 250 * time.Millisecond

// runWatch watches the object API while it is this host's turn.
func (s *Store) runWatch(ctx context.Context) {
	backoff := retryBackoff
	pause(ctx, s.bootstrapDelay())
	for ctx.Err() == nil {
		if !s.shouldWatch() {
			pause(ctx, watchCheck)
			continue
		}
		err := s.watchOnce(ctx)
		if err == nil {
			backoff = retryBackoff
			continue
		}
		s.stats.watchEnds.Inc(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "config_watch_ended"}).WithError(err).Warn("configuration watch ended")
		if s.isSilence(err) {
			backoff = retryBackoff // a fresh connection is worth trying at once
			continue
		}
		pause(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
		backoff = min(2*backoff, retryLimit)
	}
}

// bootstrapDelay is the time in which peers may provide the first state, which
// spares the API a list. A host alone has nobody to ask.
func (s *Store) bootstrapDelay() time.Duration {
	if len(s.topology().others) == 0 {
		return 0
	}
	return bootstrapWait
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// shouldWatch reports whether this host is one of its zone's watchers, or has
// had no confirmation by way of them for a while.
func (s *Store) shouldWatch() bool {
	if s.topology().rank >= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.fresh.SourceAge(s.now())
	if age < 0 {
		return s.now() > ownWatchStart
	}
	return age > ownWatchAfter
}

// SilentWatchError reports a watch that delivered nothing, not even a
// bookmark, for too long.
type SilentWatchError struct {
	Silence time.Duration
}

func (e *SilentWatchError) Error() string { return "watch silent for " + e.Silence.String() }

func (s *Store) isSilence(err error) bool {
	var silent *SilentWatchError
	return errors.As(err, &silent)
}

// watchOnce opens a watch and follows it until it ends. It returns nil if it
// is no longer this host's turn.
func (s *Store) watchOnce(ctx context.Context) error {
	floor, known := s.floor()
	if !known {
		if err := s.list(ctx); err != nil {
			return err
		}
		floor, _ = s.floor()
	}
	// A watch from the floor on a fresh connection delivers all that a list
	// would, without its size; only an expired version needs the list.
	w, err := s.opts.API.Watch(ctx, platform.KindInstances, platform.Version(floor))
	if isExpired(err) {
		return s.list(ctx)
	}
	if err != nil {
		return err
	}
	defer w.Stop()
	s.stats.watches.Inc(1)
	err = s.follow(ctx, w)
	var early *EarlyBookmarkError
	if isExpired(err) || errors.As(err, &early) {
		s.stats.relists.Inc(1)
		return s.list(ctx)
	}
	return err
}

func isExpired(err error) bool {
	var expired *platform.ExpiredError
	return errors.As(err, &expired)
}

func (s *Store) floor() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects.Floor(), s.objects.Synced()
}

// list takes a full reading. A list older than the replica changes nothing. It
// does not count as a confirmation: lists may lag, and the bookmark of the
// watch that follows comes soon.
func (s *Store) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := s.opts.API.List(ctx, platform.KindInstances)
	if err != nil {
		return err
	}
	objects := make([]vmap.Change[json.RawMessage], len(list.Items))
	for i, obj := range list.Items {
		objects[i] = changeOf(platform.Event{Type: platform.EventPut, Object: obj})
	}
	s.merge(func() []vmap.Applied[json.RawMessage] {
		return s.objects.Replace(uint64(list.Version), objects)
	})
	return nil
}

func changeOf(e platform.Event) vmap.Change[json.RawMessage] {
	c := vmap.Change[json.RawMessage]{Name: e.Object.Name, Version: uint64(e.Object.Version)}
	if e.Type == platform.EventDelete {
		c.Deleted = true
		return c
	}
	c.Value = e.Object.Data
	return c
}

// maxBatch is the number of events merged into one snapshot.
const maxBatch = 256

// follow applies the events of a watch.
func (s *Store) follow(ctx context.Context, w platform.Watch) error {
	silence := time.NewTimer(watchSilence)
	defer silence.Stop()
	opened := s.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-silence.C:
			return &SilentWatchError{Silence: watchSilence}
		case e, open := <-w.Events():
			if !open {
				return endOf(w)
			}
			if err := s.apply(e, w); err != nil {
				return err
			}
			silence.Reset(watchSilence)
		}
		if s.now()-opened > ownWatchLife && !s.shouldWatch() {
			return nil
		}
	}
}

func endOf(w platform.Watch) error {
	if err := w.Err(); err != nil {
		return err
	}
	return &platform.UnavailableError{Op: "watch", Cause: context.Canceled}
}

// EarlyBookmarkError reports a watch that delivered an object after a bookmark
// that covers it. The state below the bookmark is then not complete.
type EarlyBookmarkError struct {
	Name    string
	Version platform.Version
}

func (e *EarlyBookmarkError) Error() string {
	return fmt.Sprintf("instance %s of version %d came after the bookmark of a later version", e.Name, e.Version)
}

// apply merges an event and those that already wait behind it.
func (s *Store) apply(first platform.Event, w platform.Watch) error {
	batch := []platform.Event{first}
	for len(batch) < maxBatch {
		select {
		case e, open := <-w.Events():
			if open {
				batch = append(batch, e)
				continue
			}
		default:
		}
		break
	}
	var err error
	s.merge(func() (made []vmap.Applied[json.RawMessage]) {
		made, err = s.applyBatch(batch)
		return made
	})
	return err
}

func (s *Store) applyBatch(batch []platform.Event) (made []vmap.Applied[json.RawMessage], err error) {
	for _, e := range batch {
		if e.Type == platform.EventBookmark {
			s.bookmark(uint64(e.Object.Version))
			continue
		}
		c := changeOf(e)
		if a, ok := s.objects.Apply(c); ok {
			made = append(made, a)
		} else if s.unaccounted(c) {
			err = &EarlyBookmarkError{Name: c.Name, Version: e.Object.Version}
		}
	}
	return made, err
}

// unaccounted reports whether a put that was not applied is of a name without
// any trace. It may have been put and deleted long ago; or the bookmark came
// before the event, and only a list tells.
func (s *Store) unaccounted(c vmap.Change[json.RawMessage]) bool {
	_, present := s.objects.VersionOf(c.Name)
	return !c.Deleted && !present && !s.objects.Deleted(c.Name)
}

// bookmark confirms the state, unless a peer has shown a later version: then
// this watch lags.
func (s *Store) bookmark(version uint64) {
	if version < s.objects.Digest().Head {
		s.stats.lagging.Inc(1)
		return
	}
	s.objects.Advance(version)
	s.fresh.ConfirmSource(s.now())
}
