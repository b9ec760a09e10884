package platformhost

import (
	"fmt"
	"slices"
	"testing"

	logrustest "github.com/sirupsen/logrus/hooks/test"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestUnknownHomesAreLoggedOnce guards against homes and zones that silently have no effect, and against a line for each configuration or list
// of targets. The control are known ones, which are not logged.
func TestUnknownHomesAreLoggedOnce(t *testing.T) {
	log, hook := logrustest.NewNullLogger()
	h := &Host{log: log, settings: fleet.HostSettings{Regions: map[string]string{"z0": "eu"}}}
	config := &fleet.Config{Routes: []fleet.Route{{Name: "r", Homes: []string{"eu", "mars"}}, {Name: "known", Homes: []string{"eu"}}, {Name: "free"}}, Teams: []fleet.Team{{Name: "t", Homes: []string{""}}}}
	for range 3 {
		h.logUnknownHomes(config)
		h.logZonesWithoutRegion(map[string]fleet.Target{"a": {Zone: "z0"}, "b": {Zone: "z1"}, "c": {Zone: "z1"}})
	}
	var got []string
	for _, e := range hook.AllEntries() {
		got = append(got, fmt.Sprintf("%v %v %v %v %v", e.Data["event"], e.Data["route"], e.Data["team"], e.Data["zone"], e.Data["none_left"]))
	}
	if want := []string{"homes_unknown r <nil> <nil> false", "homes_unknown <nil> t <nil> true", "zone_without_region <nil> <nil> z1 <nil>"}; !slices.Equal(got, want) {
		t.Errorf("logged %q, want %q", got, want)
	}
	(&Host{log: log}).logZonesWithoutRegion(map[string]fleet.Target{"a": {Zone: "z0"}})
	if n := len(hook.AllEntries()); n != 3 {
		t.Errorf("%d lines, want none more in a deployment without regions", n)
	}
	h.homesLog.logged = nil
	for i := range 2 * maxHomesNotices {
		h.logZonesWithoutRegion(map[string]fleet.Target{"a": {Zone: fmt.Sprint("new", i)}})
	}
	if n := len(hook.AllEntries()) - 3; n != maxHomesNotices {
		t.Errorf("%d lines on %d zones, want %d", n, 2*maxHomesNotices, maxHomesNotices)
	}
}
