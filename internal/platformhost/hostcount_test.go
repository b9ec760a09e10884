package platformhost

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// TestStoppingHostsCountForQuotas guards against each of several stopping hosts granting the whole rate of a team.
func TestStoppingHostsCountForQuotas(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := func() time.Duration { return time.Hour }
	h := &Host{view: coordinator.NewFleetView("z", now), knowsHosts: make(chan struct{})}
	h.view.SetHosts(map[string]fleet.Host{"a": {Name: "a", Leaving: true}, "b": {Name: "b", Leaving: true}, "c": {Name: "c", Leaving: true}})
	h.client = coordinator.NewClient(coordinator.ClientOptions{FleetView: h.view, Owner: &coordinator.Owner{}, Now: now, Log: log, Parts: coordinator.NewPartFailures("a", h.view.Hosts, now, log)})
	if count := h.hostCount(); count.All != 0 {
		t.Errorf("%d hosts before the list of hosts has come, want 0", count.All)
	}
	close(h.knowsHosts)
	if count := h.hostCount(); count.All != 3 {
		t.Errorf("%d hosts, want 3", count.All)
	}
}
