package config

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// Timing of the removal of withdrawn instances.
const (
	withdrawnRetention = 10 * time.Minute // longer than any write can be in flight
	sweepPeriod        = time.Minute
	maxSweepRemovals   = 20 // of one host in one period
)

// withdrawal is a withdrawn instance that is still stored.
type withdrawal struct {
	version uint64
	seen    time.Duration // when this host learned of it
}

// trackWithdrawal updates the record of withdrawn instances after a change. The caller
// holds mu.
func (s *Store) trackWithdrawal(a vmap.Applied[json.RawMessage]) {
	delete(s.withdrawn, a.Name)
	if !a.Deleted && isWithdrawn(a.Value) {
		s.withdrawn[a.Name] = withdrawal{version: a.Version, seen: s.now()}
	}
}

// isWithdrawn reports whether data encodes a withdrawn instance.
func isWithdrawn(data json.RawMessage) bool {
	if !bytes.Contains(data, []byte(`"withdrawn"`)) {
		return false // avoids decoding all other instances
	}
	var inst Instance
	return json.Unmarshal(data, &inst) == nil && inst.Withdrawn
}

// runWithdrawalSweep deletes withdrawn instances from the object API after
// withdrawnRetention. One host, chosen by the instance's name, deletes each of them. If
// two hosts both see themselves as the chosen one, the version precondition makes the
// second deletion harmless.
func (s *Store) runWithdrawalSweep(ctx context.Context) {
	for ctx.Err() == nil {
		ctxsleep.Sleep(ctx, sweepPeriod)
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

// expiredWithdrawals returns the instances that this host has to delete now, with their
// versions.
func (s *Store) expiredWithdrawals() map[string]uint64 {
	t := s.topology()
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := make(map[string]uint64)
	for name, w := range s.withdrawn {
		if s.now()-w.seen > withdrawnRetention && t.ranksFirst(name) && len(expired) < maxSweepRemovals {
			expired[name] = w.version
		}
	}
	return expired
}

// ranksFirst reports whether no other member has a smaller hash for name than this host.
func (t *topology) ranksFirst(name string) bool {
	own := xxhash.Sum64String(name + "/" + t.self.ID.Name)
	for _, m := range t.others {
		if xxhash.Sum64String(name+"/"+m.ID.Name) < own {
			return false
		}
	}
	return true
}
