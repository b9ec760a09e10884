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

// maxTracked bounds the changes whose progress is remembered. An older one that
// is asked for again starts its wait anew.
const maxTracked = 1024

// maxDirect is the number of waiting hosts that are asked directly; while more
// are waiting, the watchers are asked for what they know.
const maxDirect = 16

// Progress says how far a stored change has come.
type Progress struct {
	InForce     bool
	Waiting     []string // hosts that may still act on an older state
	WaitBounded bool     // Waiting ends by itself: too few hosts to confirm each other
}

// noteAck records what a peer holds. The caller holds mu.
func (s *Store) noteAck(from peer.ID, d vmap.Digest, members int) {
	if !d.Synced || from.Name == "" {
		return
	}
	if old, ok := s.acks[from]; ok && old.Floor > d.Floor {
		return
	}
	s.acks[from] = vmap.Ack{Floor: d.Floor, Members: members}
}

// forgetAcks drops hosts that are no longer listed, and earlier runs of those
// that are. The caller holds mu.
func (s *Store) forgetAcks(members []peer.Member) {
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

// handleAcks answers with the acknowledgements that this host knows of.
func (s *Store) handleAcks(context.Context, peer.ID, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var a acksAnswer
	for id, ack := range s.acks {
		a.Acks = append(a.Acks, hostAck{Host: id, Ack: ack})
	}
	if s.objects.Synced() {
		a.Acks = append(a.Acks, s.ownAck())
	}
	return a, nil
}

func (s *Store) ownAck() hostAck {
	ack := vmap.Ack{Floor: s.objects.Floor(), Members: s.fresh.Members()}
	return hostAck{Host: s.opts.Members.Self().ID, Ack: ack}
}

// VersionOf returns the version of the last change of an instance that this
// host knows of.
func (s *Store) VersionOf(name string) (version platform.Version, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, present := s.objects.VersionOf(name)
	return platform.Version(v), present
}

// progressAtOnce bounds the collections that run at once.
const progressAtOnce = 4

// Progress asks the hosts that are not known to have a change, and says how far
// it has come. A collection takes at most about two seconds.
func (s *Store) Progress(ctx context.Context, version platform.Version) Progress {
	p := s.KnownProgress(version)
	if p.InForce {
		return p
	}
	select {
	case s.asking <- struct{}{}:
		defer func() { <-s.asking }()
	case <-ctx.Done():
		return p
	}
	s.collect(ctx, p.Waiting)
	return s.KnownProgress(version)
}

// KnownProgress is Progress by what this host knows already.
func (s *Store) KnownProgress(version platform.Version) Progress {
	members := s.opts.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.tracked[version]
	if !ok {
		s.trimTracked()
		f = vmap.NewPropagationTracker(uint64(version), ackLimit)
		s.tracked[version] = f
	}
	v := f.Update(s.now(), namesOf(members), s.acksByName(members))
	own := s.objects.Floor() >= uint64(version)
	invariant.Check(own || !v.InForce || slices.Contains(v.Waiting, s.opts.Members.Self().ID.Name),
		invariant.ConfigMonotonic, "version %d in force elsewhere, floor here is %d", version, s.objects.Floor())
	return Progress{InForce: v.InForce && own, Waiting: v.Waiting, WaitBounded: v.WaitBounded}
}

func namesOf(members []peer.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.ID.Name
	}
	return names
}

// acksByName returns the acknowledgements of the current run of each member.
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

func (s *Store) trimTracked() {
	if len(s.tracked) < maxTracked {
		return
	}
	oldest := platform.Version(0)
	for v := range s.tracked {
		if oldest == 0 || v < oldest {
			oldest = v
		}
	}
	delete(s.tracked, oldest)
}

// collect asks for acknowledgements.
func (s *Store) collect(ctx context.Context, waiting []string) {
	self := s.opts.Members.Self().ID.Name
	if len(waiting) <= maxDirect {
		s.each(waiting, self, func(host string) { s.ask(ctx, host) })
		return
	}
	s.each(relays(s.opts.Members.Members()), self, func(host string) { s.askRelay(ctx, host) })
}

func (s *Store) each(hosts []string, self string, f func(host string)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pushesAtOnce)
	for _, host := range hosts {
		if host == self {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(host)
		})
	}
	wg.Wait()
}

// ask exchanges digests with a host that is waiting, which brings it what it
// lacks, and notes what it holds then.
func (s *Store) ask(ctx context.Context, host string) {
	answer, err := s.exchange(ctx, host, nil)
	if err != nil {
		return
	}
	if d := s.missing(answer.Digest); d != nil {
		answer, err = s.exchange(ctx, host, d)
	}
	if err == nil {
		s.noteAnswer(answer)
	}
}

func (s *Store) noteAnswer(a syncAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteAck(a.Self, a.Digest, a.Members)
}

func (s *Store) askRelay(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer acksAnswer
	if err := s.opts.Caller.Call(ctx, host, methodAcks, struct{}{}, &answer); err != nil {
		return // its hosts stay among those waiting
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answer.Acks {
		s.noteAck(a.Host, vmap.Digest{Floor: a.Floor, Synced: true}, a.Members)
	}
}
