package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/seam/internal/platform"
)

// The object that holds the parts of prompts which crash targets, for the case that all hosts restart.
const (
	kindBlockedParts platform.Kind = "seam-blocked-parts"
	blockedPartsName string        = "current"
)

// Times of a PartStore.
const (
	partStoreInterval   = 500 * time.Millisecond // between two looks at whether the parts have to be read or written
	partStoreRetryDelay = 3 * time.Second        // after a call that failed, since calls to a store that is down are charged too
)

// PartStore keeps the blocked parts of prompts in the store. Only the coordinator's host reads and writes them;
// the others learn of them by its updates.
type PartStore struct {
	Parts *PartFailures
	Store Store
	// Coordinates reports whether this host is the coordinator.
	Coordinates func() bool
	Log         logrus.FieldLogger
	Eras        *platform.Eras // of the store

	loaded  bool
	era     platform.Era // in which the parts were read
	version platform.Version
	written []crashcause.StoredBlock
}

// Run reads and writes the blocked parts until ctx ends.
func (s *PartStore) Run(ctx context.Context) error {
	ticker := time.NewTicker(partStoreInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !s.Coordinates() {
			s.loaded = false
			continue
		}
		if err := s.step(ctx); err != nil {
			s.Log.WithFields(logrus.Fields{"event": "blocked_parts_not_stored", "loaded": s.loaded}).Warn(err.Error())
			ticker.Reset(partStoreRetryDelay)
		} else {
			ticker.Reset(partStoreInterval)
		}
	}
}

// step reads the blocked parts if the host has become the coordinator, or writes them if they have changed.
func (s *PartStore) step(ctx context.Context) error {
	if era := s.Eras.Current(); !s.loaded || s.era != era { // a restored store may have forgotten the last ones
		s.loaded, s.era = false, era
		return s.load(ctx)
	}
	blocks := s.Parts.stored()
	if slices.Equal(blocks, s.written) {
		return nil
	}
	data, err := json.Marshal(blocks)
	if err != nil {
		return err
	}
	obj, err := s.Store.Put(ctx, platform.Object{Kind: kindBlockedParts, Name: blockedPartsName, Version: s.version, Data: data})
	if err != nil {
		s.loaded = false // the object may have changed
		return err
	}
	s.version, s.written = obj.Version, blocks
	return nil
}

func (s *PartStore) load(ctx context.Context) error {
	obj, err := s.Store.Get(ctx, kindBlockedParts, blockedPartsName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		s.loaded, s.version, s.written = true, 0, nil
		return nil
	}
	if err != nil {
		return err
	}
	var blocks []crashcause.StoredBlock
	if err := json.Unmarshal(obj.Data, &blocks); err != nil {
		s.Log.WithFields(logrus.Fields{"event": "blocked_parts_unreadable", "revision": obj.Version}).Warn(err.Error())
	}
	s.Parts.restore(blocks)
	s.loaded, s.version, s.written = true, obj.Version, blocks
	return nil
}
