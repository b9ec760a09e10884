package coordinator

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
)

// Times of a target that asked this host for quiet.
const (
	quietSpread = 500 * time.Millisecond // after the end, so that hosts do not come back together
	quietReturn = time.Second            // in which requests come back gradually
)

// RecordQuiet records that a target asked this host to send it nothing for a time.
func (f *FleetView) RecordQuiet(t fleet.Target, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, end := f.quietUntil[runOf(t)], f.now()+d+rand.N(quietSpread)
	if end > before+quietReturn { // not for each response that was on its way
		f.logNotice("target_quiet", logrus.Fields{"target": runOf(t), "quiet_ms": d.Milliseconds()}, "a target asked this host to send it nothing for a time")
	}
	f.quietUntil[runOf(t)] = max(before, end)
}

// isQuiet reports whether a target is not to be chosen since it asked for quiet. After the end of the time, it is chosen for a
// growing part of the requests. The caller must hold f.mu.
func (f *FleetView) isQuiet(t fleet.Target) bool {
	until, asked := f.quietUntil[runOf(t)]
	if !asked {
		return false
	}
	since := f.now() - until
	if since >= quietReturn {
		delete(f.quietUntil, runOf(t))
		return false
	}
	return since < 0 || rand.Float64() > float64(since)/float64(quietReturn)
}

// QuietUntil returns when the first of the targets of a service in the given regions (nil: all) that do not leave and are not in
// evacuated zones can be sent to, if all of them asked this host for quiet.
func (f *FleetView) QuietUntil(service string, regions []string) (until time.Duration, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.targets.ByService[service] {
		t := f.targets.ByID[id]
		if t.Draining || f.evacuations.core.Evacuated(t.Zone) || !f.inRegions(t, regions) {
			continue
		}
		end, asked := f.quietUntil[runOf(t)]
		if !asked || f.now() >= end {
			return 0, false
		}
		if !all || end < until {
			until, all = end, true
		}
	}
	return until, all
}
