package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
)

// initialSyncs is the number of exchanges that a starting host begins at once.
const initialSyncs = 4

// runSync starts a digest exchange with a peer in each period.
func (s *Store) runSync(ctx context.Context) {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for range initialSyncs {
		s.startSync(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.refreshMembers()
		s.startSync(ctx)
	}
}

// maxSyncAttempts is the number of hosts that one round tries until one replies.
const maxSyncAttempts = 3

// startSync starts an exchange in the background unless too many are running, so that an
// unresponsive peer does not delay later rounds.
func (s *Store) startSync(ctx context.Context) {
	select {
	case s.syncSem <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.syncSem }()
		for range maxSyncAttempts {
			if host := s.nextPeer(); host != "" && s.sync(ctx, host) {
				return
			}
		}
	}()
}

// roundsPerWatcherSync is the number of rounds of which one goes to a watcher of this
// zone. The others go to neighbours, about half of them to neighbours in the zone.
const roundsPerWatcherSync = 3

// nextPeer chooses the host of the next exchange, "" if there is none.
func (s *Store) nextPeer() string {
	t := s.topology()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	if s.round%roundsPerWatcherSync == 0 {
		if name := t.watchers[s.rng.IntN(len(t.watchers))]; name != t.self.ID.Name {
			return name
		}
	}
	hosts := t.fleetNeighbours
	if s.rng.IntN(2) == 0 && len(t.zoneNeighbours) > 0 {
		hosts = t.zoneNeighbours
	}
	if len(hosts) == 0 {
		return ""
	}
	return hosts[s.rng.IntN(len(hosts))]
}

// sync exchanges digests with a host, fetches the changes that this host lacks and sends
// those that the other lacks. It reports whether the host replied.
func (s *Store) sync(ctx context.Context, host string) bool {
	reply, err := s.exchange(ctx, host, nil)
	if err != nil {
		return false
	}
	if reply.Full {
		s.readFull(ctx, host)
		return true
	}
	if d := s.deltaFor(reply.Digest); d != nil && len(d.Changes) > 0 {
		_, _ = s.exchange(ctx, host, d) // failures are counted, and later exchanges make up for them
	}
	return true
}

// deltaFor returns the changes that a peer with digest d lacks, nil if there are none or
// the peer needs a full read anyway.
func (s *Store) deltaFor(d vmap.Digest) *vmap.Delta[json.RawMessage] {
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

// exchange sends this host's digest and, if d is not nil, changes to a host, and merges
// the reply.
func (s *Store) exchange(ctx context.Context, host string, d *vmap.Delta[json.RawMessage]) (syncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	request := syncRequest{Digest: s.objects.Digest(), Members: s.freshness.Members(), Delta: d}
	s.mu.Unlock()
	sent := s.now()
	var reply syncReply
	s.stats.syncs.Inc(1)
	if err := s.opts.Caller.Call(ctx, host, methodSync, request, &reply); err != nil {
		s.stats.syncFailures.Inc(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "config_sync_failed", "peer": host}).WithError(err).Debug("digest exchange failed")
		return syncReply{}, err
	}
	s.merge(func() []vmap.Applied[json.RawMessage] { return s.applyReply(host, sent, reply) })
	return reply, nil
}

// applyReply merges a reply. The reply confirms this host's state only if this host then
// lacks nothing that the peer holds.
func (s *Store) applyReply(host string, sent time.Duration, reply syncReply) []vmap.Applied[json.RawMessage] {
	var applied []vmap.Applied[json.RawMessage]
	if reply.Delta != nil {
		applied = s.objects.Merge(*reply.Delta)
	}
	if reply.Digest.Synced && !s.objects.Digest().Lacks(reply.Digest) {
		s.freshness.ConfirmPeer(vmap.ContactID(host), sent, reply.Age, reply.Contacts)
	}
	return applied
}

// handleSync handles an exchange started by a peer.
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
	s.recordAck(from, r.Digest, r.Members)
	return s.syncReplyTo(r.Digest), nil
}

func (s *Store) syncReplyTo(caller vmap.Digest) syncReply {
	now := s.now()
	own := s.objects.Digest()
	reply := syncReply{
		Self:     s.opts.Members.Self().ID,
		Digest:   own,
		Members:  s.freshness.Members(),
		Age:      s.freshness.SourceAge(now),
		Contacts: s.freshness.RecentContacts(now),
	}
	if !caller.Lacks(own) {
		return reply
	}
	d, ok := s.objects.Delta(caller.Floor, maxDeltaChanges)
	if !ok {
		reply.Full = true
		return reply
	}
	reply.Delta = &d
	return reply
}

// MessageError reports a message from a peer that cannot be decoded.
type MessageError struct {
	Method string
	Cause  error
}

func (e *MessageError) Error() string { return "malformed " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }
