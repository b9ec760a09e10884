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

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// watchCheckInterval is the time between checks whether this host should watch.
const watchCheckInterval = 250 * time.Millisecond

// runWatch watches the object API while shouldWatch reports true.
func (s *Store) runWatch(ctx context.Context) {
	backoff := retryBackoff
	ctxsleep.Sleep(ctx, s.bootstrapDelay())
	for ctx.Err() == nil {
		if !s.shouldWatch() {
			ctxsleep.Sleep(ctx, watchCheckInterval)
			continue
		}
		err := s.runOneWatch(ctx)
		if err == nil {
			backoff = retryBackoff
			continue
		}
		s.stats.watchFailures.Inc(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "config_watch_ended"}).WithError(err).Warn("configuration watch ended")
		if s.isSilentWatch(err) {
			backoff = retryBackoff // a new connection may work at once
			continue
		}
		ctxsleep.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// bootstrapDelay returns how long a starting host waits for peers to provide the initial
// state, which saves the API a list. A host without peers does not wait.
func (s *Store) bootstrapDelay() time.Duration {
	if len(s.topology().others) == 0 {
		return 0
	}
	return bootstrapWait
}

// shouldWatch reports whether this host is one of its zone's watchers, or has not
// received the API's confirmation through them for too long.
func (s *Store) shouldWatch() bool {
	if s.topology().rank >= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.freshness.SourceAge(s.now())
	if age < 0 {
		return s.now() > fallbackWatchStartDelay
	}
	return age > fallbackWatchAfter
}

// SilentWatchError reports a watch that delivered nothing, not even a
// bookmark, for too long.
type SilentWatchError struct {
	Silence time.Duration
}

func (e *SilentWatchError) Error() string { return "watch silent for " + e.Silence.String() }

func (s *Store) isSilentWatch(err error) bool {
	var silent *SilentWatchError
	return errors.As(err, &silent)
}

// runOneWatch opens a watch and applies its events until it ends. It returns nil if ctx
// ended, this host no longer needs to watch, or the watch could not continue and a list
// replaced it.
func (s *Store) runOneWatch(ctx context.Context) error {
	floor, known := s.floor()
	if !known {
		if err := s.listAll(ctx); err != nil {
			return err
		}
		floor, _ = s.floor()
	}
	// A watch from the floor on a new connection delivers everything that a list
	// would, in less data. A list is needed only if that version has expired.
	w, err := s.opts.API.Watch(ctx, platform.KindInstances, platform.Version(floor))
	if isExpired(err) {
		return s.listAll(ctx)
	}
	if err != nil {
		return err
	}
	defer w.Stop()
	s.stats.watches.Inc(1)
	err = s.applyEvents(ctx, w)
	var early *EarlyBookmarkError
	if isExpired(err) || errors.As(err, &early) {
		s.stats.relists.Inc(1)
		return s.listAll(ctx)
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

// listAll reads a list of all instances into the replica. A list older than the replica
// changes nothing. A list does not confirm the replica's state, because lists may lag;
// the watch that follows soon delivers a bookmark, which does.
func (s *Store) listAll(ctx context.Context) error {
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

// maxEventBatch is the largest number of events merged into one snapshot.
const maxEventBatch = 256

// applyEvents applies the events of a watch. It returns nil if ctx ends or this host no
// longer needs to watch.
func (s *Store) applyEvents(ctx context.Context, w platform.Watch) error {
	idleTimer := time.NewTimer(watchIdleTimeout)
	defer idleTimer.Stop()
	opened := s.now()
	last := opened // when the last event was received
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idleTimer.C:
			return &SilentWatchError{Silence: watchIdleTimeout}
		case e, open := <-w.Events():
			if !open {
				return watchError(w)
			}
			received := s.now()
			if silence := received - last; silence > watchIdleTimeout {
				return &SilentWatchError{Silence: silence} // this process was frozen: the events may have waited as long
			}
			last = received
			if err := s.apply(e, w, received); err != nil {
				return err
			}
			idleTimer.Reset(watchIdleTimeout)
		}
		if s.now()-opened > fallbackWatchMinLife && !s.shouldWatch() {
			return nil
		}
	}
}

func watchError(w platform.Watch) error {
	if err := w.Err(); err != nil {
		return err
	}
	return &platform.UnavailableError{Op: "watch", Cause: context.Canceled}
}

// EarlyBookmarkError reports a watch that delivered an object after a bookmark of a
// later version. The state up to the bookmark is then incomplete.
type EarlyBookmarkError struct {
	Name    string
	Version platform.Version
}

func (e *EarlyBookmarkError) Error() string {
	return fmt.Sprintf("instance %s at version %d arrived after a bookmark of a later version", e.Name, e.Version)
}

// apply merges an event and those already queued behind it. A bookmark among them confirms
// the state as of received, when the first one was: applying them may take long.
func (s *Store) apply(first platform.Event, w platform.Watch, received time.Duration) error {
	batch := []platform.Event{first}
	for len(batch) < maxEventBatch {
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
	s.merge(func() (applied []vmap.Applied[json.RawMessage]) {
		applied, err = s.applyBatch(batch, received)
		return applied
	})
	return err
}

func (s *Store) applyBatch(batch []platform.Event, received time.Duration) (applied []vmap.Applied[json.RawMessage], err error) {
	for _, e := range batch {
		if e.Type == platform.EventBookmark {
			s.applyBookmark(uint64(e.Object.Version), received)
			continue
		}
		c := changeOf(e)
		if a, ok := s.objects.Apply(c); ok {
			applied = append(applied, a)
		} else if s.maybeMissed(c) {
			err = &EarlyBookmarkError{Name: c.Name, Version: e.Object.Version}
		}
	}
	return applied, err
}

// maybeMissed reports whether a change that was not applied is a put of a name that the
// replica has no record of. Either the object was put and deleted long ago, or a
// bookmark arrived before the event; only a list tells which.
func (s *Store) maybeMissed(c vmap.Change[json.RawMessage]) bool {
	_, present := s.objects.VersionOf(c.Name)
	return !c.Deleted && !present && !s.objects.Deleted(c.Name)
}

// applyBookmark takes a bookmark as the API's confirmation of the state. If a peer has
// shown a later version, this watch lags behind and the bookmark is ignored.
func (s *Store) applyBookmark(version uint64, received time.Duration) {
	if version < s.objects.Digest().Head {
		s.stats.laggingBookmarks.Inc(1)
		return
	}
	s.objects.Advance(version)
	s.freshness.ConfirmSource(received)
}
