package evacuation

import (
	"testing"
	"time"
)

const era = uint64(1) << 40

func newCore() *Core { return New(func(v uint64) uint64 { return v >> 40 }) }

func zones(version uint64, objects ...any) List {
	l := List{Version: version, Zones: map[string]uint64{}}
	for i := 0; i < len(objects); i += 2 {
		l.Zones[objects[i].(string)] = uint64(objects[i+1].(int))
	}
	return l
}

// TestOlderListsChangeNothing guards against an evacuation that comes back, or is lost, with a list that was under way for long.
func TestOlderListsChangeNothing(t *testing.T) {
	c := newCore()
	if newer, changes := c.Merge(1, zones(era+5, "a", 5)); !newer || len(changes) != 1 || !changes[0].Began {
		t.Fatalf("first list: newer %v, changes %v", newer, changes)
	}
	for _, l := range []List{zones(era + 5), zones(era + 4), zones(900)} {
		if newer, _ := c.Merge(2, l); newer || !c.Evacuated("a") {
			t.Errorf("list of version %d taken for newer than %d", l.Version, era+5)
		}
	}
	if _, ok := c.EndedAt("a"); ok {
		t.Error("an evacuation that is in force has ended")
	}
	c.Merge(3, zones(era+6))
	if at, ok := c.EndedAt("a"); c.Evacuated("a") || !ok || at != 3 {
		t.Errorf("after the removal: evacuated %v, ended at %v (%v)", c.Evacuated("a"), at, ok)
	}
}

// TestRestoredStore guards against a restore that ends an evacuation at once, or brings back one that had been removed.
func TestRestoredStore(t *testing.T) {
	c := newCore()
	c.Merge(0, zones(era+9, "kept", 5, "removed", 6, "rewritten", 7, "again", 8))
	c.Merge(time.Second, zones(era+10, "kept", 5, "rewritten", 7))
	c.Merge(2*time.Second, zones(2*era+6, "removed", 6, "again", 8))
	expect := func(at time.Duration, want ...string) {
		t.Helper()
		c.Confirm(at)
		c.Step(at)
		if got := c.Zones(); len(got) != len(want) {
			t.Errorf("%v: evacuated %v, want %v", at, got, want)
		}
		for _, zone := range want {
			if !c.Evacuated(zone) {
				t.Errorf("%v: %s is not evacuated", at, zone)
			}
		}
	}
	expect(3*time.Second, "kept", "rewritten")
	if c.Step(time.Hour); !c.Evacuated("kept") {
		t.Error("an evacuation ends although it may have been written again since the last list that was complete")
	}
	c.Merge(4*time.Second, zones(2*era+20, "removed", 6, "again", 19, "rewritten", 18))
	expect(4*time.Second, "kept", "rewritten", "again")
	expect(2*time.Second+KeepMissing, "rewritten", "again")
	expect(2*time.Second+Withhold-1, "rewritten", "again")
	expect(2*time.Second+Withhold, "rewritten", "again", "removed")
	if at, ok := c.EndedAt("kept"); !ok || at != 2*time.Second+KeepMissing {
		t.Errorf("end of an evacuation that was not written again: %v, %v", at, ok)
	}
}
