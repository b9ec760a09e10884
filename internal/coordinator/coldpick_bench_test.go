package coordinator

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// BenchmarkPickAmongColdTargets measures the choice among 90 engines, of which none or 30 are cold.
func BenchmarkPickAmongColdTargets(b *testing.B) {
	for _, cold := range []int{0, 30} {
		b.Run(fmt.Sprint(cold), func(b *testing.B) {
			f := NewFleetView("z", func() time.Duration { return time.Hour })
			f.SetConfig(coldConfig(20))
			targets := map[string]fleet.Target{}
			for i := range 90 {
				t := fleet.Target{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", StartedMS: int64(i), Slots: 12, Models: map[string][]string{"m": nil}}
				if i < cold {
					t.WarmupLeft = 3 * time.Second
				}
				targets[t.ID] = t
			}
			f.SetTargets(fleet.NewTargets(targets))
			for b.Loop() {
				f.Pick(Requirements{Service: "s", Model: "m"})
			}
		})
	}
}
