package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
)

// leavingMemory is how long the leaving of a target is remembered after it has left the list of targets. A store that
// is restored from a copy may list it once more.
const leavingMemory = time.Minute

// LeavingTarget is a target that stated in a response that it leaves, as hosts tell each other.
type LeavingTarget struct {
	Run   string `json:"t"` // of runOf
	AgeMS int64  `json:"a"` // time since it first did
}

// leavingTargets are the targets that leave, by start. A target that has said so never takes it back.
type leavingTargets struct {
	records map[string]leavingRecord
	version uint64 // increases with each record that is told to other hosts
}

type leavingRecord struct {
	since   time.Duration
	version uint64        // of leavingTargets when it was added; 0: the list of targets says so, which all hosts read
	goneAt  time.Duration // since when the target is not listed; 0: it is
}

// add records that a target leaves, and reports whether that is new. With tell set, other hosts are told.
func (l *leavingTargets) add(run string, since time.Duration, tell bool) bool {
	r, known := l.records[run]
	if known && (!tell || r.version > 0) {
		return false
	}
	if !known {
		r.since = since
	}
	if tell {
		l.version++
		r.version = l.version
	}
	l.records[run] = r
	return !known
}

// expire forgets targets that have not been listed for leavingMemory.
func (l *leavingTargets) expire(now time.Duration, listed map[string]bool) {
	for run, r := range l.records {
		switch {
		case listed[run]:
			r.goneAt = 0
		case r.goneAt == 0:
			r.goneAt = now
		case now-r.goneAt > leavingMemory:
			delete(l.records, run)
			continue
		}
		l.records[run] = r
	}
}

// RecordLeaving records that a target stated in a response that it leaves. Nothing new is sent to it.
func (f *FleetView) RecordLeaving(t fleet.Target) {
	f.mu.Lock()
	added := f.addLeaving(runOf(t), f.now())
	f.mu.Unlock()
	if added {
		f.requestReport()
	}
}

// RecordNotices records what a target stated about itself in a response.
func (f *FleetView) RecordNotices(targetID string, n fleet.Notices) {
	t, ok := f.Target(targetID)
	if !ok {
		return
	}
	f.RecordLimit(t, n.Limit)
	if n.Cold > 0 {
		f.recordCold(t, n.Cold)
	}
	if n.Quiet > 0 {
		f.RecordQuiet(t, n.Quiet)
	}
	if n.Brittle > 0 {
		f.recordBrittle(t.Service)
	}
	if n.Leaving {
		f.RecordLeaving(t)
	}
}

// addLeaving adds a target that other hosts are told of. The caller must hold f.mu.
func (f *FleetView) addLeaving(run string, since time.Duration) bool {
	if !f.leaving.add(run, since, true) {
		return false
	}
	f.logNotice("target_leaving", logrus.Fields{"target": run, "age_ms": (f.now() - since).Milliseconds()}, "a target said in a response that it leaves")
	f.markLeaving()
	f.notify()
	return true
}

// markLeaving marks the listed targets that leave as draining. The caller must hold f.mu.
func (f *FleetView) markLeaving() {
	f.targets = f.listed.WithDraining(func(t fleet.Target) bool {
		_, leaves := f.leaving.records[runOf(t)]
		return leaves
	})
}

// leavingChanges returns the targets that leave of which a receiver has not been told.
func (f *FleetView) leavingChanges(sent uint64) ([]LeavingTarget, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent == f.leaving.version {
		return nil, sent
	}
	var out []LeavingTarget
	for run, r := range f.leaving.records {
		if r.version > sent {
			out = append(out, LeavingTarget{Run: run, AgeMS: (f.now() - r.since).Milliseconds()})
		}
	}
	return out, f.leaving.version
}

// mergeLeaving records what another host tells.
func (f *FleetView) mergeLeaving(targets []LeavingTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range targets {
		f.addLeaving(t.Run, f.now()-time.Duration(t.AgeMS)*time.Millisecond)
	}
}
