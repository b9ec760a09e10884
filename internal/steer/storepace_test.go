package steer

import (
	"testing"
	"time"
)

// TestStorePaceFindsFullSpeed: the store runs some loads at once at full speed and
// shares its speed among more.
func TestStorePaceFindsFullSpeed(t *testing.T) {
	for _, atOnce := range []int{2, 3, 4} {
		p := newStorePace()
		highest := 0
		for range 20 {
			took := 6 * time.Second * time.Duration(max(atOnce, p.most)) / time.Duration(atOnce)
			p.learn(took+300*time.Millisecond, 6*time.Second, p.most)
			highest = max(highest, p.most)
		}
		if highest < atOnce || highest > atOnce+1 || p.most != atOnce {
			t.Errorf("%d at full speed: tried up to %d, ended at %d", atOnce, highest, p.most)
		}
	}
}
