package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// The object that names the last era of the store of which it is known that no lease of an earlier one is valid.
const (
	kindEras       platform.Kind = "seam-eras"
	settledEraName string        = "settled"
)

// settledReadInterval is the shortest time between two reads of that object.
const settledReadInterval = time.Second

type settledEraRecord struct {
	Era platform.Era `json:"era"`
}

// UnsettledEraError reports that the store was restored so recently that an owner which it has forgotten may still order
// an engine.
type UnsettledEraError struct {
	Era platform.Era
}

func (e *UnsettledEraError) Error() string {
	return fmt.Sprintf("era %d of the store is new; leases of the one before may be valid", e.Era)
}

// eraSettling finds out since when the store's records are the truth about who owns an engine. A restored store has
// forgotten the last claims, but a lease is valid for leaseTTL after a renewal at most, so some time after the restore all
// owners that it does not know have stopped, or have written themselves down again.
type eraSettling struct {
	store     Store
	eras      *platform.Eras
	firstBoot bool          // there was no era before
	after     time.Duration // from a restore until the last orders of forgotten owners are old enough
	now       func() time.Duration

	mu        sync.Mutex
	era       platform.Era // that the following fields are about
	learnedAt time.Duration
	readAt    time.Duration // when the object was last read; 0: never
	settled   bool
	recorded  bool // the object names the era
}

// await returns nil if the current era is settled. It fails with *UnsettledEraError or an error of the store.
func (s *eraSettling) await(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.eras.Current()
	if current == 0 {
		return nil // the store is never restored, or does not say so
	}
	if current != s.era {
		s.era, s.learnedAt, s.readAt, s.settled, s.recorded = current, s.now(), 0, false, false
	}
	s.settled = s.settled || s.now() >= s.learnedAt+s.after
	if s.settled && s.recorded {
		return nil
	}
	if s.readAt == 0 || s.now() >= s.readAt+settledReadInterval {
		if err := s.exchange(ctx); err != nil && !s.settled {
			return err
		}
	}
	if !s.settled {
		return &UnsettledEraError{Era: current}
	}
	return nil
}

// exchange reads whether another host has found the era to be settled, and records it if this one has.
func (s *eraSettling) exchange(ctx context.Context) error {
	s.readAt = s.now()
	obj, err := s.store.Get(ctx, kindEras, settledEraName)
	var missing *platform.NotFoundError
	absent := errors.As(err, &missing)
	if err != nil && !absent {
		return err
	}
	var rec settledEraRecord
	if !absent {
		if err := json.Unmarshal(obj.Data, &rec); err != nil {
			rec = settledEraRecord{} // it is written again
		}
	}
	switch {
	case rec.Era == s.era:
		s.settled, s.recorded = true, true
		return nil
	case absent && s.firstBoot && !s.settled && s.era == s.eras.First():
		s.settled = true
	case !s.settled:
		return nil
	}
	data, err := json.Marshal(settledEraRecord{Era: s.era})
	if err != nil {
		return err
	}
	_, err = s.store.Put(ctx, platform.Object{Kind: kindEras, Name: settledEraName, Version: obj.Version, Data: data})
	s.recorded = err == nil
	return err
}
