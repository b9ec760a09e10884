package coordinator

import (
	"sync"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestConfigurationIsReadWithItsConfirmation guards against a reader that has the configuration before a change and the
// confirmation after it.
func TestConfigurationIsReadWithItsConfirmation(t *testing.T) {
	const changes = 20_000
	f := NewFleetView("z", func() time.Duration { return 0 })
	var changing sync.WaitGroup
	changing.Go(func() {
		for i := 1; i <= changes; i++ {
			f.SetConfig(&fleet.Config{Version: int64(i), Revision: uint64(i)})
			f.ConfirmConfig(time.Duration(i))
			f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"t": {ID: "t", Revision: uint64(i)}}))
			f.ConfirmTargets(time.Duration(i))
		}
	})
	for seen := 0; seen < changes; {
		config, _ := f.DatedConfig(StoreFreshness{})
		targets := f.DatedTargets(StoreFreshness{})
		if seen = int(config.Copy.Version); int(config.CurrentAt) > seen {
			t.Fatalf("configuration %d is dated to change %d", seen, config.CurrentAt)
		}
		if revision := targets.Copy.ByID["t"].Revision; targets.CurrentAt > time.Duration(revision) {
			t.Fatalf("list of targets %d is dated to change %d", revision, targets.CurrentAt)
		}
	}
	changing.Wait()
}

// TestCoordinatorReportsTheCopiesThatWereConfirmed guards against hosts that take an earlier list of targets or configuration for
// current, since the coordinator's own copies changed while it wrote its report.
func TestCoordinatorReportsTheCopiesThatWereConfirmed(t *testing.T) {
	c, now := testCoordinator()
	before := c.freshness
	c.freshness = func() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets]) {
		config, targets := before()
		c.fleetView.SetConfig(&fleet.Config{Version: 2, Revision: 2, Digest: 22})
		c.fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"t": {ID: "t", Draining: true}}))
		return config, targets
	}
	c.fleetView.SetConfig(&fleet.Config{Version: 1, Revision: 1, Digest: 11})
	listed := fleet.NewTargets(map[string]fleet.Target{"t": {ID: "t"}})
	c.fleetView.SetTargets(listed)
	*now += time.Second
	if age := c.storeAge(); age.Config != 1 || age.Digest != 11 || age.Targets != listed.Digest || len(age.Unusable) > 0 {
		t.Errorf("reported %+v, want the copies that were confirmed", age)
	}
	if age := c.storeAge(); age.Config != 2 || age.Digest != 22 || len(age.Unusable) != 1 {
		t.Errorf("reported %+v after the change, want the newer copies", age)
	}
}
