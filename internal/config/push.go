package config

import (
	"context"
	"encoding/json"
	"sync"

	"buckthornseam.dev/coord/vmap"
)

// runPush passes new changes on as soon as they are in force here: a watcher to
// its share of the zone, and every host to a few others anywhere. A call that
// fails is not repeated; the regular exchanges bring what it lost.
func (s *Store) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.push:
		}
		delta, ok := s.pending()
		if !ok {
			continue
		}
		s.pushTo(ctx, s.pushTargets(), delta)
	}
}

// pending returns the changes since the last push, not ok if there are none
// or too many for one message.
func (s *Store) pending() (*vmap.Delta[json.RawMessage], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta, ok := s.objects.Delta(s.pushed, maxDeltaChanges)
	s.pushed = s.objects.Floor()
	return &delta, ok && len(delta.Changes) > 0
}

func (s *Store) pushTargets() []string {
	t := s.topology()
	targets := t.share()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range min(pushFanout, len(t.far)) {
		targets = append(targets, t.far[s.rng.IntN(len(t.far))])
	}
	return targets
}

func (s *Store) pushTo(ctx context.Context, targets []string, delta *vmap.Delta[json.RawMessage]) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pushesAtOnce)
	for _, host := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s.stats.pushes.Inc(1)
			_, _ = s.exchange(ctx, host, delta) // a failure is counted; the next round repairs it
		})
	}
	wg.Wait()
}
