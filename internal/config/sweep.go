package config

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/platform"
)

// Timing of the removal of withdrawn instances.
const (
	withdrawnLife = 10 * time.Minute // longer than any write can be under way
	sweepPeriod   = time.Minute
	sweepAtOnce   = 20 // removals of one host in one period
)

// withdrawal is a withdrawn instance that is still stored.
type withdrawal struct {
	version uint64
	seen    time.Duration // when this host learned of it
}

// noteWithdrawal keeps track of withdrawn instances. The caller holds mu.
func (s *Store) noteWithdrawal(a vmap.Applied[json.RawMessage]) {
	delete(s.withdrawn, a.Name)
	if !a.Deleted && isWithdrawn(a.Value) {
		s.withdrawn[a.Name] = withdrawal{version: a.Version, seen: s.now()}
	}
}

// isWithdrawn reports whether data is a withdrawn instance.
func isWithdrawn(data json.RawMessage) bool {
	if !bytes.Contains(data, []byte(`"withdrawn"`)) {
		return false // spares decoding all others
	}
	var inst Instance
	return json.Unmarshal(data, &inst) == nil && inst.Withdrawn
}

// runSweep removes withdrawn instances from the object API after their time.
// Each is removed by one host, chosen by its name; the precondition makes a
// second removal harmless.
func (s *Store) runSweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, sweepPeriod)
		for name, version := range s.expiredWithdrawals() {
			s.removeWithdrawn(ctx, name, version)
		}
	}
}

func (s *Store) removeWithdrawn(ctx context.Context, name string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	fields := logrus.Fields{"event": "withdrawn_instance_removed", "instance": name, "version": version}
	if err := s.opts.API.Delete(ctx, platform.KindInstances, name, platform.Version(version)); err != nil {
		s.opts.Log.WithFields(fields).WithError(err).Warn("withdrawn instance not removed")
		return
	}
	s.opts.Log.WithFields(fields).Info("withdrawn instance removed")
}

// expiredWithdrawals returns the instances that this host is to remove now.
func (s *Store) expiredWithdrawals() map[string]uint64 {
	t := s.topology()
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := make(map[string]uint64)
	for name, w := range s.withdrawn {
		if s.now()-w.seen > withdrawnLife && t.owns(name) && len(expired) < sweepAtOnce {
			expired[name] = w.version
		}
	}
	return expired
}

// owns reports whether this host ranks first for a name among the members.
func (t *topology) owns(name string) bool {
	own := xxhash.Sum64String(name + "/" + t.self.ID.Name)
	for _, m := range t.others {
		if xxhash.Sum64String(name+"/"+m.ID.Name) < own {
			return false
		}
	}
	return true
}
