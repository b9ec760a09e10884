package coordinator

import (
	"testing"
	"time"
)

// TestStoreLoadLimitFindsFullSpeed simulates a store that serves up to atOnce concurrent
// loads at full speed and divides its speed among more.
func TestStoreLoadLimitFindsFullSpeed(t *testing.T) {
	for _, atOnce := range []int{2, 3, 4} {
		l := newStoreLoadLimit()
		highest := 0
		for range 20 {
			took := 6 * time.Second * time.Duration(max(atOnce, l.limit)) / time.Duration(atOnce)
			l.observe(took+300*time.Millisecond, 6*time.Second, l.limit)
			highest = max(highest, l.limit)
		}
		if highest < atOnce || highest > atOnce+1 || l.limit != atOnce {
			t.Errorf("%d loads at full speed: highest limit %d, final limit %d", atOnce, highest, l.limit)
		}
	}
}
