package config

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// maxTrackers bounds the changes whose propagation is tracked. If an older one is asked
// for again, its wait starts over.
const maxTrackers = 1024

// maxDirectQueries is the largest number of waiting hosts that are queried directly. If
// more are waiting, the watchers are asked for the acknowledgements that they know of.
const maxDirectQueries = 16

// Progress says how far a stored change has propagated.
type Progress struct {
	InForce     bool
	Waiting     []string // hosts that may still act on an older state
	WaitBounded bool     // the wait ends by itself: the waiting hosts are too few to confirm each other
}

// recordAck records the state that a peer holds. The caller holds mu.
func (s *Store) recordAck(from peer.ID, d vmap.Digest, members int) {
	if !d.Synced || from.Name == "" {
		return
	}
	if old, ok := s.acks[from]; ok && old.Floor > d.Floor {
		return
	}
	s.acks[from] = vmap.Ack{Floor: d.Floor, Members: members}
}

// pruneAcks drops the acknowledgements of hosts that are no longer members and of
// earlier incarnations of those that are. The caller holds mu.
func (s *Store) pruneAcks(members []peer.Member) {
	listed := make(map[peer.ID]bool, len(members))
	for _, m := range members {
		listed[m.ID] = true
	}
	for id := range s.acks {
		if !listed[id] {
			delete(s.acks, id)
		}
	}
}

// handleAcks replies with the acknowledgements that this host knows of, including its
// own.
func (s *Store) handleAcks(context.Context, peer.ID, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reply acksReply
	for id, ack := range s.acks {
		reply.Acks = append(reply.Acks, hostAck{Host: id, Ack: ack})
	}
	if s.objects.Synced() {
		reply.Acks = append(reply.Acks, s.ownAck())
	}
	return reply, nil
}

func (s *Store) ownAck() hostAck {
	ack := vmap.Ack{Floor: s.objects.Floor(), Members: s.freshness.Members()}
	return hostAck{Host: s.opts.Members.Self().ID, Ack: ack}
}

// VersionOf returns the version of the last change of an instance that this host knows
// of, and whether the instance exists after it.
func (s *Store) VersionOf(name string) (version platform.Version, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, present := s.objects.VersionOf(name)
	return platform.Version(v), present
}

// maxConcurrentCollections bounds concurrent collections of acknowledgements.
const maxConcurrentCollections = 4

// Progress queries the hosts that are not known to have a change, and returns how far it
// has propagated. A collection of acknowledgements takes at most about two seconds.
func (s *Store) Progress(ctx context.Context, version platform.Version) Progress {
	p := s.KnownProgress(version)
	if p.InForce {
		return p
	}
	select {
	case s.collectSem <- struct{}{}:
		defer func() { <-s.collectSem }()
	case <-ctx.Done():
		return p
	}
	s.collectAcks(ctx, p.Waiting)
	return s.KnownProgress(version)
}

// KnownProgress is like Progress, but uses only what this host already knows.
func (s *Store) KnownProgress(version platform.Version) Progress {
	members := s.opts.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker, ok := s.trackers[version]
	if !ok {
		s.evictOldestTracker()
		tracker = vmap.NewPropagationTracker(uint64(version), isolationTimeout)
		s.trackers[version] = tracker
	}
	status := tracker.Update(s.now(), namesOf(members), s.acksByName(members))
	own := s.objects.Floor() >= uint64(version)
	invariant.Check(own || !status.InForce || slices.Contains(status.Waiting, s.opts.Members.Self().ID.Name),
		invariant.ConfigMonotonic, "version %d is in force elsewhere, but the floor of this host is %d", version, s.objects.Floor())
	return Progress{InForce: status.InForce && own, Waiting: status.Waiting, WaitBounded: status.WaitBounded}
}

func namesOf(members []peer.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.ID.Name
	}
	return names
}

// acksByName returns the acknowledgements of the members' current incarnations, this
// host's included.
func (s *Store) acksByName(members []peer.Member) map[string]vmap.Ack {
	acks := make(map[string]vmap.Ack, len(members))
	for _, m := range members {
		if a, ok := s.acks[m.ID]; ok {
			acks[m.ID.Name] = a
		}
	}
	own := s.ownAck()
	acks[own.Host.Name] = own.Ack
	return acks
}

func (s *Store) evictOldestTracker() {
	if len(s.trackers) < maxTrackers {
		return
	}
	oldest := platform.Version(0)
	for v := range s.trackers {
		if oldest == 0 || v < oldest {
			oldest = v
		}
	}
	delete(s.trackers, oldest)
}

// collectAcks collects acknowledgements from the waiting hosts, or from the watchers if
// too many hosts are waiting.
func (s *Store) collectAcks(ctx context.Context, waiting []string) {
	self := s.opts.Members.Self().ID.Name
	if len(waiting) <= maxDirectQueries {
		s.forEachHost(waiting, self, func(host string) { s.queryHost(ctx, host) })
		return
	}
	s.forEachHost(allWatchers(s.opts.Members.Members()), self, func(host string) { s.queryWatcher(ctx, host) })
}

func (s *Store) forEachHost(hosts []string, self string, f func(host string)) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentPushes)
	for _, host := range hosts {
		if host == self {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			f(host)
		})
	}
	wg.Wait()
}

// queryHost exchanges digests with a waiting host, sends it the changes that it lacks
// and records the state that it then holds.
func (s *Store) queryHost(ctx context.Context, host string) {
	reply, err := s.exchange(ctx, host, nil)
	if err != nil {
		return
	}
	if d := s.deltaFor(reply.Digest); d != nil {
		reply, err = s.exchange(ctx, host, d)
	}
	if err == nil {
		s.recordReplyAck(reply)
	}
}

func (s *Store) recordReplyAck(reply syncReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAck(reply.Self, reply.Digest, reply.Members)
}

func (s *Store) queryWatcher(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply acksReply
	if err := s.opts.Caller.Call(ctx, host, methodAcks, struct{}{}, &reply); err != nil {
		return // hosts that only this watcher knows of stay in Waiting
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range reply.Acks {
		s.recordAck(a.Host, vmap.Digest{Floor: a.Floor, Synced: true}, a.Members)
	}
}
