package gateway

import (
	"testing"
	"time"
)

// brittleFalls is the number of times that engines may fall over while they say that they are brittle, by the users' rule.
func brittleFalls(engines int) int { return 2 + engines/10 }

// TestBrittleEnginesStand guards against hosts that choose by themselves colliding at one engine: each collision is a request
// that it turns away, and one that falls over passes its load on to the others.
func TestBrittleEnginesStand(t *testing.T) {
	for _, c := range []struct {
		name                  string
		hosts, engines, slots int
		perSecond             float64
	}{
		{"half of the room", 8, 9, 8, 90},
		{"more than the room", 8, 9, 8, 260},
		{"more hosts than slots", 24, 4, 8, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				f := newEngineFleetWithSlots(t, c.hosts, c.engines, c.slots, seed)
				f.play(3*time.Second, c.perSecond, 0, "")
				f.turnBrittle()
				began := f.now()
				f.play(10*time.Second, c.perSecond, 0, "")
				time.Sleep(6 * time.Second)
				f.mu.Lock()
				falls := f.falls
				f.mu.Unlock()
				share, n := f.shareBegun(began+contactTime, f.now())
				t.Logf("%d falls, %.2f of %d requests began", falls, share, n)
				if falls > brittleFalls(c.engines) {
					t.Errorf("engines fell over %d times, want %d at most", falls, brittleFalls(c.engines))
				}
				room := float64(c.engines*c.slots) / (engineQueueTime + engineEvents*engineEventTime).Seconds()
				if least := 0.9 * min(1, 0.8*room/c.perSecond); share < least {
					t.Errorf("%.2f of the requests began, want %.2f at least", share, least)
				}
			})
		})
	}
}
