package coordinator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
)

// OwnedElsewhereError reports that another host may still order an engine.
type OwnedElsewhereError struct {
	Engine string
	Holder string
}

func (e *OwnedElsewhereError) Error() string {
	return "engine " + e.Engine + " is owned by " + e.Holder
}

// Claim makes this host the owner of an engine. It returns the fencing token for orders to
// it, and whether another host may have ordered the engine before. While the lease of
// another owner has not ended, it returns an *OwnedElsewhereError and may be called again
// later.
func (l *Lease) Claim(ctx context.Context, engine string) (fence uint64, takenOver bool, err error) {
	if holder, ok := l.heldElsewhere(engine); ok {
		return 0, false, &OwnedElsewhereError{Engine: engine, Holder: holder}
	}
	obj, err := l.store.Get(ctx, kindOwners, engine)
	var missing *platform.NotFoundError
	var rec ownerRecord
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return 0, false, err
	default:
		if err := json.Unmarshal(obj.Data, &rec); err != nil {
			return 0, false, err
		}
	}
	era := l.eras.Current()
	if rec.Holder == l.holder && rec.Era == era {
		return l.claimAgain(ctx, engine, obj.Version, rec)
	}
	if rec.Holder != "" && rec.Holder != l.holder {
		l.mu.Lock()
		l.seenOwners[engine] = ownerObservation{rec.Holder, l.now()}
		l.mu.Unlock()
		if err := l.endLease(ctx, rec.Holder); err != nil {
			var elsewhere *OwnedElsewhereError
			if errors.As(err, &elsewhere) {
				elsewhere.Engine = engine
			}
			return 0, false, err
		}
	}
	if err := l.settling.await(ctx); err != nil {
		return 0, false, err
	}
	// The owner of a record of an earlier era has not written itself down again, and had stopped before the era was settled.
	next := ownerRecord{Holder: l.holder, Era: era, Claim: rec.Claim + 1}
	if rec.Holder != l.holder && rec.Era == era {
		next.From = rec.Holder
	}
	stored, err := l.put(ctx, kindOwners, engine, obj.Version, next)
	if err != nil {
		return 0, false, err
	}
	if stored.Version.Era() != era { // the store was restored meanwhile; the record counts as one of the era before
		return 0, false, &UnsettledEraError{Era: stored.Version.Era()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takenOver[engine] = stored.Version
	return uint64(stored.Version), next.From != "", nil
}

// LostEngineError reports that this host no longer owns an engine.
type LostEngineError struct {
	Engine string
}

func (e *LostEngineError) Error() string {
	return "engine " + e.Engine + " is no longer owned by this host"
}

// Reassert writes this host down again as the owner of an engine that it claimed in an earlier era of the store, and
// returns the fencing token for orders from then on. No other host claims the engine while the lease of that era is
// valid, and a claim of another host in the new era makes the write fail, or is made to fail by it. It fails with
// *LostEngineError if the engine is lost, and may be called again after other errors.
func (l *Lease) Reassert(ctx context.Context, engine string, fence uint64) (uint64, error) {
	lost := &LostEngineError{Engine: engine}
	if !l.Holds(fence) {
		return 0, lost
	}
	if !l.Held() {
		if err := l.renew(ctx); err != nil {
			return 0, err
		}
	}
	obj, err := l.store.Get(ctx, kindOwners, engine)
	var missing *platform.NotFoundError
	var rec ownerRecord
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	if err == nil {
		if err := json.Unmarshal(obj.Data, &rec); err != nil {
			return 0, err
		}
	}
	era := l.eras.Current()
	if rec.Holder != l.holder && rec.Holder != "" && rec.Era == era || !l.Holds(fence) {
		return 0, lost
	}
	stored, err := l.put(ctx, kindOwners, engine, obj.Version, ownerRecord{Holder: l.holder, Era: era, Claim: rec.Claim + 1})
	if err != nil {
		return 0, err
	}
	if stored.Version.Era() != era {
		return 0, &UnsettledEraError{Era: stored.Version.Era()}
	}
	return uint64(stored.Version), nil
}

// claimAgain claims an engine that this host owns according to its record. If the lease had
// ended, another host may have read that and be about to write itself into the record; a new
// version of the record makes this write fail. If the record was written by a takeover of which this process
// does not know, because the response was lost or the process has restarted since, the earlier owner
// may have ordered the engine just before.
func (l *Lease) claimAgain(ctx context.Context, engine string, version platform.Version, rec ownerRecord) (fence uint64, takenOver bool, err error) {
	l.mu.Lock()
	foundEnded := l.foundEnded
	takenOver = rec.From != "" && l.takenOver[engine] != version
	l.mu.Unlock()
	if !foundEnded && !takenOver {
		return uint64(version), false, nil
	}
	rec.Claim++
	rec.From = ""
	stored, err := l.put(ctx, kindOwners, engine, version, rec)
	if err != nil {
		return 0, false, err
	}
	return uint64(stored.Version), takenOver, nil
}

// heldElsewhere returns the owner of an engine if its lease cannot have ended yet,
// according to recent observations.
func (l *Lease) heldElsewhere(engine string) (holder string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.seenOwners[engine]
	return r.holder, known && l.now() < r.at+observationTTL && l.mayStillHold(r.holder)
}

// mayStillHold reports whether a host's lease cannot have ended yet, according to a recent
// observation. The caller must hold l.mu.
func (l *Lease) mayStillHold(holder string) bool {
	s, seen := l.seenLeases[holder]
	now := l.now()
	return seen && now < s.lastRead+observationTTL && now < s.firstSeen+leaseTTL+leaseDriftMargin
}

// endLease makes sure that another host's lease has ended permanently. It marks the lease
// as ended, at the version that was not renewed in time. The holder's next renewal then
// fails, so that it cannot use the engines that are taken over.
func (l *Lease) endLease(ctx context.Context, holder string) error {
	l.mu.Lock()
	held := l.mayStillHold(holder)
	l.mu.Unlock()
	if held {
		return &OwnedElsewhereError{Holder: holder}
	}
	obj, err := l.store.Get(ctx, kindLeases, holder)
	if err != nil {
		var missing *platform.NotFoundError
		if errors.As(err, &missing) {
			return nil
		}
		return err
	}
	var rec leaseRecord
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return err
	}
	if rec.Ended {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	s, ok := l.seenLeases[holder]
	if !ok || s.version != obj.Version {
		s = leaseObservation{version: obj.Version, firstSeen: now}
	}
	s.lastRead = now
	l.seenLeases[holder] = s
	l.mu.Unlock()
	if now < s.firstSeen+leaseTTL+leaseDriftMargin {
		return &OwnedElsewhereError{Holder: holder}
	}
	rec.Ended = true
	_, err = l.put(ctx, kindLeases, holder, obj.Version, rec)
	if err == nil {
		l.log.WithFields(logrus.Fields{"event": "lease_ended", "holder": holder, "version": obj.Version, "silent_ms": (now - s.firstSeen).Milliseconds()}).Warn("host did not renew its lease; declared it ended")
	}
	return err
}
