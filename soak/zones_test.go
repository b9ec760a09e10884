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
	coldSlack     = 5                                // requests
	coldMost      = coldRate*coldOverage + coldSlack // requests in any second
	coldGrace     = time.Second                      // until all hosts know that an engine in use has become cold
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

// boundCold has the configuration state what cold engines bear.
func (s *soak) boundCold() {
	s.coldBounded = true
	s.configure()
}

// turnCold has an engine that is in use become cold. After a grace in which hosts learn of it, it crashes if it gets more than most
// requests in a second.
func (s *soak) turnCold(engine, most int) {
	s.engines[engine].TurnCold(coldTime, coldGrace, most)
	s.registerEngine(engine, "ready")
}

// endEvacuation ends it. The engine of the zone has become cold meanwhile, and crashes if it gets more than the hosts together may
// send it in a second.
func (s *soak) endEvacuation() {
	s.engines[0].TurnCold(coldTime, 0, coldMost)
	s.checker.recordEvacuation(s.engines[0].ID, false)
	s.registerEngine(0, "ready")
	s.store.Remove("evacuations", evacuatedZone)
}

// checkCold fails the test if an engine has crashed while it was cold.
func (s *soak) checkCold() {
	for _, e := range s.engines {
		if n := e.Crashes(); n > 0 {
			s.t.Errorf("cold: %s crashed %d times, as it got more than %v requests in a second while it was cold", e.ID, n, coldMost)
		}
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

// recordEarlierDaemon records that a host is about to run a daemon that does not know evacuations, or that none does any more.
func (c *checker) recordEarlierDaemon(runs bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlierDaemon = runs
	if !runs {
		c.upgradedAt = time.Now()
	}
}

// evacuating reports whether an engine's zone is evacuated at a time. c.mu must be held.
func (c *checker) evacuating(engine string, at time.Time) bool {
	return engine == c.evacuatedEngine && at.After(c.evacuatedAt) && (c.evacuationEnd.IsZero() || at.Before(c.evacuationEnd))
}

// checkEvacuation checks a run. c.mu must be held.
func (c *checker) checkEvacuation(r standin.Run) {
	inForce := c.evacuatedAt.Add(evacuateBound)
	if c.upgradedAt.After(inForce) {
		inForce = c.upgradedAt
	}
	if c.evacuating(r.Engine, r.At) && !c.earlierDaemon && r.At.After(inForce.Add(timingTolerance)) && !c.heldUp(r) {
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
