package config

import (
	"context"
	"encoding/json"
	"sync"

	"buckthornseam.dev/coord/vmap"
)

// runPush passes new changes on as soon as this host has applied them: a watcher to its
// share of the zone's hosts, and every host to a few random neighbours in any zone. A
// failed push is not retried; the regular exchanges deliver what it missed.
func (s *Store) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushSignal:
		}
		delta, ok := s.pendingDelta()
		if !ok {
			continue
		}
		s.pushTo(ctx, s.pushHosts(), delta)
	}
}

// pendingDelta returns the changes since the last push. It reports false if there are
// none or too many for one message.
func (s *Store) pendingDelta() (*vmap.Delta[json.RawMessage], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta, ok := s.objects.Delta(s.pushedFloor, maxDeltaChanges)
	s.pushedFloor = s.objects.Floor()
	return &delta, ok && len(delta.Changes) > 0
}

func (s *Store) pushHosts() []string {
	t := s.topology()
	hosts := t.relayHosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range min(pushFanout, len(t.fleetNeighbours)) {
		hosts = append(hosts, t.fleetNeighbours[s.rng.IntN(len(t.fleetNeighbours))])
	}
	return hosts
}

func (s *Store) pushTo(ctx context.Context, hosts []string, delta *vmap.Delta[json.RawMessage]) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentPushes)
	for _, host := range hosts {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			s.stats.pushes.Inc(1)
			_, _ = s.exchange(ctx, host, delta) // failures are counted, and the regular exchanges make up for them
		})
	}
	wg.Wait()
}
