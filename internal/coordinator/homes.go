package coordinator

import (
	"slices"
	"time"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// RegionCount counts requests for a model that only targets in some regions may serve, and perhaps only those of one software
// version.
type RegionCount struct {
	Regions []string `json:"g"`
	Version *string  `json:"v,omitempty"`
	N       int      `json:"n"`
	Late    int      `json:"l,omitempty"` // number of them that are past their objective
}

// BoundBacklog is the part of the Backlog of a model that is bound to regions, by region.
type BoundBacklog struct {
	Service string        `json:"s"`
	Model   string        `json:"m"`
	Counts  []RegionCount `json:"g"`
}

// SetRegions sets the region of each availability zone. It must be called before the view is used.
func (f *FleetView) SetRegions(byZone map[string]string) { f.regions = byZone }

// Region returns the region of an availability zone, empty if it has none.
func (f *FleetView) Region(zone string) string { return f.regions[zone] }

// Regions returns the region of each zone. It must not be modified.
func (f *FleetView) Regions() map[string]string { return f.regions }

// inRegions reports whether a target is in one of the allowed regions; nil: all are.
func (f *FleetView) inRegions(t fleet.Target, allowed []string) bool {
	return allowed == nil || homes.Allows(allowed, f.regions[t.Zone])
}

// boundKey identifies requests that are bound to the same regions and software version.
type boundKey struct {
	regions    string // homes.Key
	version    string
	anyVersion bool
}

func boundKeyOf(regions []string, version *string) boundKey {
	if version == nil {
		return boundKey{regions: homes.Key(regions), anyVersion: true}
	}
	return boundKey{regions: homes.Key(regions), version: *version}
}

func (k boundKey) count(n, late int) RegionCount {
	out := RegionCount{Regions: homes.OfKey(k.regions), N: n, Late: late}
	if !k.anyVersion {
		out.Version = &k.version
	}
	return out
}

// compareCounts orders counts, so that messages do not depend on the order of a map.
func compareCounts(a, b RegionCount) int { return slices.Compare(a.Regions, b.Regions) }

// addBound adds the due time of a request that is bound to regions; nil: it is not.
func (w *waitList) addBound(regions []string, version *string, due time.Duration) {
	if regions == nil {
		return
	}
	if w.bound == nil {
		w.bound = map[boundKey][]time.Duration{}
	}
	key := boundKeyOf(regions, version)
	w.bound[key] = append(w.bound[key], due)
}

func (w *waitList) removeBound(regions []string, version *string, due time.Duration) {
	if regions == nil {
		return
	}
	key := boundKeyOf(regions, version)
	if i := slices.Index(w.bound[key], due); i >= 0 {
		w.bound[key] = slices.Delete(w.bound[key], i, i+1)
	}
	if len(w.bound[key]) == 0 {
		delete(w.bound, key)
	}
}

// boundCounts returns the numbers of requests that are bound to regions.
func (w *waitList) boundCounts(now time.Duration) []RegionCount {
	var out []RegionCount
	for key, dues := range w.bound {
		out = append(out, key.count(len(dues), countLate(dues, now)))
	}
	slices.SortFunc(out, compareCounts)
	return out
}

// recordBoundArrival counts a new request for a model that is bound to regions. The caller must hold f.mu.
func (f *FleetView) recordBoundArrival(key modelKey, regions []string) {
	if regions == nil {
		return
	}
	if f.boundArrivals == nil {
		f.boundArrivals = map[modelKey]map[string]int{}
	}
	if f.boundArrivals[key] == nil {
		f.boundArrivals[key] = map[string]int{}
	}
	f.boundArrivals[key][homes.Key(regions)]++
}

// takeBoundArrivals returns the arrivals that are bound to regions since the last call. The caller must hold f.mu.
func (f *FleetView) takeBoundArrivals(key modelKey) []RegionCount {
	var out []RegionCount
	for regions, n := range f.boundArrivals[key] {
		out = append(out, RegionCount{Regions: homes.OfKey(regions), N: n})
	}
	delete(f.boundArrivals, key)
	slices.SortFunc(out, compareCounts)
	return out
}

// boundRates are the arrival rates by model and homes.Key.
type boundRates map[modelKey]map[string]*rate

func (b boundRates) add(key modelKey, counts []RegionCount, now time.Duration) {
	for _, c := range counts {
		if b[key] == nil {
			b[key] = map[string]*rate{}
		}
		regions := homes.Key(c.Regions)
		if b[key][regions] == nil {
			b[key][regions] = &rate{}
		}
		b[key][regions].add(c.N, now)
	}
}

// minBoundRate is the rate per second below which demand that is bound to regions is forgotten: a hundredth of a hot model's.
const minBoundRate = 0.01

// boundDemands collects the demand for the models of a service that is bound to regions.
type boundDemands map[string]map[boundKey]*swap.Bound

func (b boundDemands) of(model string, k boundKey) *swap.Bound {
	if b[model] == nil {
		b[model] = map[boundKey]*swap.Bound{}
	}
	if b[model][k] == nil {
		b[model][k] = &swap.Bound{Regions: homes.OfKey(k.regions)}
		if !k.anyVersion {
			b[model][k].Version = &k.version
		}
	}
	return b[model][k]
}

// boundDemands returns the demand for the models of a service that is bound to regions.
func (c *Coordinator) boundDemands(service string, now time.Duration) boundDemands {
	out := boundDemands{}
	for key, rates := range c.boundRates {
		if key.service != service {
			continue
		}
		for regions, r := range rates {
			if value := r.value(now); value < minBoundRate {
				delete(rates, regions)
			} else {
				out.of(key.model, boundKey{regions: regions, anyVersion: true}).Rate = value
			}
		}
		if len(rates) == 0 {
			delete(c.boundRates, key)
		}
	}
	for _, h := range c.hosts {
		for _, w := range h.waiting {
			if w.Service != service {
				continue
			}
			for _, n := range w.Bound {
				out.of(w.Model, boundKeyOf(n.Regions, n.Version)).Waiting += n.N
			}
		}
	}
	return out
}

// addBoundDemand adds the demand that is bound to regions to that of the models of a service. Requests that are bound to a software
// version too are counted there alone.
func (c *Coordinator) addBoundDemand(service string, demands map[string]swap.Demand, now time.Duration) {
	for model, byKey := range c.boundDemands(service, now) {
		d := demands[model]
		for _, b := range byKey {
			d.Bound = append(d.Bound, *b)
			if b.Version != nil && d.WaitingAt != nil {
				d.WaitingAt[*b.Version] -= b.Waiting
			}
		}
		slices.SortFunc(d.Bound, func(a, b swap.Bound) int { return slices.Compare(a.Regions, b.Regions) })
		demands[model] = d
	}
}

// addBoundWaiting adds the waiting requests of a host to the backlogs by regions, or subtracts them.
func (t *totals) addBoundWaiting(w WaitingRequests, sign int) {
	key := modelKey{w.Service, w.Model}
	for _, n := range w.Bound {
		if t.boundBacklogs == nil {
			t.boundBacklogs = map[modelKey]map[string]RegionCount{}
		}
		if t.boundBacklogs[key] == nil {
			t.boundBacklogs[key] = map[string]RegionCount{}
		}
		regions := homes.Key(n.Regions)
		b := t.boundBacklogs[key][regions]
		b.Regions, b.N, b.Late = n.Regions, b.N+sign*n.N, b.Late+sign*n.Late
		t.boundBacklogs[key][regions] = b
		if b.N == 0 {
			delete(t.boundBacklogs[key], regions)
		}
	}
	if len(t.boundBacklogs[key]) == 0 {
		delete(t.boundBacklogs, key)
	}
}

// boundBacklogsOf returns those parts of backlogs that are bound to regions.
func (t *totals) boundBacklogsOf(backlogs []Backlog) []BoundBacklog {
	var out []BoundBacklog
	for _, b := range backlogs {
		byRegions := t.boundBacklogs[modelKey{b.Service, b.Model}]
		if len(byRegions) == 0 {
			continue
		}
		bound := BoundBacklog{Service: b.Service, Model: b.Model}
		for _, n := range byRegions {
			bound.Counts = append(bound.Counts, n)
		}
		slices.SortFunc(bound.Counts, compareCounts)
		out = append(out, bound)
	}
	return out
}

// setBoundBacklogs completes the backlogs that were set last.
func (f *FleetView) setBoundBacklogs(backlogs []BoundBacklog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range backlogs {
		key := modelKey{b.Service, b.Model}
		if seen, ok := f.backlogs[key]; ok {
			seen.bound = b.Counts
			f.backlogs[key] = seen
		}
	}
}

// competing returns the number of waiting requests that could take one of the free slots, which are in the given regions. Without
// the distinction, requests of a region with free slots would wait for those of a full one.
func (b seenBacklog) competing(late bool, freeIn []string) int {
	n := b.InTime
	if late {
		n += b.Late
	}
	for _, c := range b.bound {
		if slices.ContainsFunc(freeIn, func(region string) bool { return homes.Allows(c.Regions, region) }) {
			continue
		}
		n -= c.N - c.Late
		if late {
			n -= c.Late
		}
	}
	return n
}
