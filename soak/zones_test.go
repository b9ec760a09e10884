package soak

import (
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

// Zones of the targets, and the bounds of the one that is evacuated. The configuration and the settings have the same values.
const (
	usualZone     = "z"
	evacuatedZone = "z2" // of the first engine alone
	evacuateBound = 5 * time.Second
	coldTime      = 3 * time.Second
	coldRate      = 4 // requests a second
	coldOverage   = 1.5
	coldSlack     = 5 // requests
)

// zoneOf returns the zone of an engine.
func zoneOf(engine int) string {
	if engine == 0 {
		return evacuatedZone
	}
	return usualZone
}

// evacuate asks for nothing more to be sent to the targets of evacuatedZone.
func (s *soak) evacuate() {
	s.store.Put("evacuations", evacuatedZone, standin.RawJSON("{}"))
	s.checker.recordEvacuation(s.engines[0].ID, true)
}

// endEvacuation ends it. The engine of the zone has become cold meanwhile, and crashes if it gets more than the hosts together may
// send it in a second.
func (s *soak) endEvacuation() {
	s.engines[0].TurnCold(coldTime, 0, coldRate*coldOverage+coldSlack)
	s.checker.recordEvacuation(s.engines[0].ID, false)
	s.registerEngine(0, "ready")
	s.store.Remove("evacuations", evacuatedZone)
}

// checkCold fails the test if the engine that came back cold has crashed.
func (s *soak) checkCold() {
	if n := s.engines[0].Crashes(); n > 0 {
		s.t.Errorf("cold: %s crashed %d times, as it got more than %v requests in a second while it was cold", s.engines[0].ID, n, coldRate*coldOverage+coldSlack)
	}
	s.t.Logf("%s got %d requests while its zone was evacuated", s.engines[0].ID, s.checker.evacuatedRuns())
}

// recordEvacuation records that the zone of an engine is evacuated, or no longer is.
func (c *checker) recordEvacuation(engine string, began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedEngine = engine
	if began {
		c.evacuatedAt = time.Now()
	} else {
		c.evacuationEnd = time.Now()
	}
}

// evacuating reports whether an engine's zone is evacuated at a time. c.mu must be held.
func (c *checker) evacuating(engine string, at time.Time) bool {
	return engine == c.evacuatedEngine && at.After(c.evacuatedAt) && (c.evacuationEnd.IsZero() || at.Before(c.evacuationEnd))
}

// checkEvacuation checks a run. c.mu must be held.
func (c *checker) checkEvacuation(r standin.Run) {
	if c.evacuating(r.Engine, r.At) && r.At.After(c.evacuatedAt.Add(evacuateBound+timingTolerance)) && !c.heldUp(r) {
		c.addViolation("evacuation: %s ran at %s %v after its zone was evacuated", r.Attempt, r.Engine, r.At.Sub(c.evacuatedAt))
	}
}

// evacuatedRuns returns the number of runs at the engine while its zone was evacuated.
func (c *checker) evacuatedRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, runs := range c.runs {
		for _, r := range runs {
			if c.evacuating(r.Engine, r.At) {
				n++
			}
		}
	}
	return n
}
