package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
)

// bootstrapSyncs is the number of peers that a starting host asks at once.
const bootstrapSyncs = 4

// runSync exchanges digests with a peer in each period.
func (s *Store) runSync(ctx context.Context) {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for range bootstrapSyncs {
		s.startSync(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.refresh()
		s.startSync(ctx)
	}
}

// syncTries is the number of hosts that one round tries until one answers.
const syncTries = 3

// startSync begins an exchange unless too many are in progress, so that a
// silent peer does not hold up the others.
func (s *Store) startSync(ctx context.Context) {
	select {
	case s.sema <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.sema }()
		for range syncTries {
			if host := s.partner(); host != "" && s.sync(ctx, host) {
				return
			}
		}
	}()
}

// roundsPerRelay is the number of rounds of which one goes to a watcher of the
// own zone; the others go to neighbours, every second of them in the zone.
const roundsPerRelay = 3

// partner chooses the host of the next exchange, "" if there is none.
func (s *Store) partner() string {
	t := s.topology()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	if s.round%roundsPerRelay == 0 {
		if name := t.watchers[s.rng.IntN(len(t.watchers))]; name != t.self.ID.Name {
			return name
		}
	}
	hosts := t.far
	if s.rng.IntN(2) == 0 && len(t.near) > 0 {
		hosts = t.near
	}
	if len(hosts) == 0 {
		return ""
	}
	return hosts[s.rng.IntN(len(hosts))]
}

// sync exchanges digests with a host, takes over what this host lacks and
// brings what the other lacks. It reports whether the host answered.
func (s *Store) sync(ctx context.Context, host string) bool {
	answer, err := s.exchange(ctx, host, nil)
	if err != nil {
		return false
	}
	if answer.Full {
		s.readFull(ctx, host)
		return true
	}
	if d := s.missing(answer.Digest); d != nil && len(d.Changes) > 0 {
		_, _ = s.exchange(ctx, host, d) // a failure is counted; the next round repairs it
	}
	return true
}

// missing returns what a peer with that digest lacks, nil if nothing, or if it
// has to read all anyway.
func (s *Store) missing(d vmap.Digest) *vmap.Delta[json.RawMessage] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.Synced || !d.Lacks(s.objects.Digest()) {
		return nil
	}
	delta, ok := s.objects.Delta(d.Floor, maxDeltaChanges)
	if !ok {
		return nil
	}
	return &delta
}

// exchange calls a host and merges its answer.
func (s *Store) exchange(ctx context.Context, host string, d *vmap.Delta[json.RawMessage]) (syncAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	request := syncRequest{Digest: s.objects.Digest(), Members: s.fresh.Members(), Delta: d}
	s.mu.Unlock()
	sent := s.now()
	var answer syncAnswer
	s.stats.syncs.Inc(1)
	if err := s.opts.Caller.Call(ctx, host, methodSync, request, &answer); err != nil {
		s.stats.syncFails.Inc(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "config_sync_failed", "peer": host}).WithError(err).Debug("exchange failed")
		return syncAnswer{}, err
	}
	s.merge(func() []vmap.Applied[json.RawMessage] { return s.take(host, sent, answer) })
	return answer, nil
}

// take merges an answer. It confirms this host's state only if nothing is
// lacking after it.
func (s *Store) take(host string, sent time.Duration, a syncAnswer) []vmap.Applied[json.RawMessage] {
	var made []vmap.Applied[json.RawMessage]
	if a.Delta != nil {
		made = s.objects.Merge(*a.Delta)
	}
	if a.Digest.Synced && !s.objects.Digest().Lacks(a.Digest) {
		s.fresh.ConfirmPeer(vmap.ContactID(host), sent, a.Age, a.Contacts)
	}
	return made
}

// handleSync answers an exchange.
func (s *Store) handleSync(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var r syncRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &MessageError{Method: methodSync, Cause: err}
	}
	if r.Delta != nil {
		s.merge(func() []vmap.Applied[json.RawMessage] { return s.objects.Merge(*r.Delta) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteAck(from, r.Digest, r.Members)
	return s.answer(r.Digest), nil
}

func (s *Store) answer(caller vmap.Digest) syncAnswer {
	now := s.now()
	own := s.objects.Digest()
	a := syncAnswer{
		Self:     s.opts.Members.Self().ID,
		Digest:   own,
		Members:  s.fresh.Members(),
		Age:      s.fresh.SourceAge(now),
		Contacts: s.fresh.RecentContacts(now),
	}
	if !caller.Lacks(own) {
		return a
	}
	d, ok := s.objects.Delta(caller.Floor, maxDeltaChanges)
	if !ok {
		a.Full = true
		return a
	}
	a.Delta = &d
	return a
}

// MessageError reports a message of a peer that cannot be decoded.
type MessageError struct {
	Method string
	Cause  error
}

func (e *MessageError) Error() string { return "malformed " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }
