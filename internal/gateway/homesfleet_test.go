package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// homesFleet is a fleet of hosts and engines in several regions, whose only route has homes.
type homesFleet struct {
	*engineFleet
	regions map[string]string // by zone
	sent    map[string]int    // requests by region of the engine
	hops    map[string]int    // requests passed on, by region of the helper
}

const homeRegion = "r0"

func newHomesFleet(t *testing.T, hosts, regions int) *homesFleet {
	f := &homesFleet{regions: regionsOfZones(regions), sent: map[string]int{}, hops: map[string]int{}}
	f.engineFleet = &engineFleet{engines: map[string]*simulatedEngine{}, listed: map[string]fleet.Target{}, views: map[string]*coordinator.FleetView{}, crashing: map[string]bool{}, cuts: map[string]cutMode{}, cutEnds: map[string]chan struct{}{}}
	for i := range 9 {
		f.startEngine()
		id := fmt.Sprint("e", f.started)
		e := f.listed[id]
		e.Zone = fmt.Sprint("z", i%3)
		f.listed[id] = e
	}
	startReportingFleet(t, hosts, 1, func(r *reportingFleet, h *reportingHost) {
		r.placeHosts(h, f.regions)
		f.addGateway(r, h)
		config := *h.view.Config()
		config.Routes = slices.Clone(config.Routes)
		config.Routes[0].Homes = []string{homeRegion}
		config.Index()
		h.view.SetConfig(&config)
		h.gateway.opts.Sender = regionSender{f, h.gateway.opts.Sender, f.sent, func(address string) string { return f.listed[address].Zone }}
		helpers := h.gateway.opts.Helpers.(*HelperHosts)
		helpers.Sender = regionSender{f, helpers.Sender, f.hops, func(address string) string { return r.known[address].Zone }}
	})
	t.Cleanup(f.requests.Wait)
	return f
}

// regionSender counts what is sent to which region.
type regionSender struct {
	fleet *homesFleet
	Sender
	counts map[string]int
	zoneOf func(address string) string
}

func (s regionSender) Forward(ctx context.Context, address string, r target.ForwardRequest, id target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.fleet.mu.Lock()
	s.counts[s.fleet.regions[s.zoneOf(address)]]++
	s.fleet.mu.Unlock()
	return s.Sender.Forward(ctx, address, r, id)
}

// checkHomes fails the test if a request left its home, or nothing was sent or passed on there.
func (f *homesFleet) checkHomes() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("sent by region %v, passed on by region %v", f.sent, f.hops)
	for _, counts := range []map[string]int{f.sent, f.hops} {
		if len(counts) != 1 || counts[homeRegion] < 10 {
			f.t.Errorf("by region %v, want all in %s", counts, homeRegion)
		}
	}
}
