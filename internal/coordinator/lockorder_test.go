package coordinator

import (
	"context"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

type noConnectionError struct{}

func (noConnectionError) Error() string { return "no connection" }

type failingCaller struct{}

func (failingCaller) Call(context.Context, string, string, any, any) error {
	return noConnectionError{}
}

// TestReportDoesNotHoldClientWhileCoordinatorIsBusy guards against a host that stands still for ever: its coordinator asks the Client
// how recent the configuration is, with its own lock held, while the Client asks the coordinator for its closed ledger.
func TestReportDoesNotHoldClientWhileCoordinatorIsBusy(t *testing.T) {
	c := testClient("a", fleet.Host{Name: "a", CreateRevision: 8}, fleet.Host{Name: "b", CreateRevision: 7})
	freshness := func() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets]) {
		config, _ := c.opts.FleetView.DatedConfig(c.StoreFreshness())
		return config, c.opts.FleetView.DatedTargets(c.StoreFreshness())
	}
	c.opts.Calls = failingCaller{}
	c.opts.Coordinator = NewCoordinator("a", c.opts.FleetView, c.opts.Calls, c.opts.Parts, freshness, false, c.opts.Now, quietLog())
	c.opts.Owner = &Owner{lease: NewLease(LeaseOptions{Holder: "a", Eras: &platform.Eras{}, Now: c.opts.Now, Log: quietLog()})}
	c.opts.LocalUse = func() map[string]float64 { return nil }
	c.opts.Coordinator.mu.Lock() // as while it takes a step
	reported, asked := make(chan struct{}), make(chan struct{})
	go func() { defer close(reported); c.report(t.Context()) }()
	go func() {
		defer close(asked)
		for c.Coordinator() != "b" { // until the report is under way
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		freshness()
	}()
	select {
	case <-asked:
	case <-time.After(2 * time.Second):
		t.Error("the Client does not answer while a report waits for the coordinator")
	}
	c.opts.Coordinator.mu.Unlock()
	<-reported
	<-asked
}
