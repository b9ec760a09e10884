package coldstart

import (
	"sort"
	"time"
)

// LowerBound returns a lower bound of the quantile q of cold waits, under any
// placement, for the cold starts of a replay: loads that begin no earlier than
// the first request for the model, within the limits of the weight store. It is
// the larger of two bounds.
//
// Single load: a request that arrived x after the first request for its model
// waits at least the minimum load time, from the best cached copy, less x.
//
// Weight store: of n requests that waited, d = (1-q)n may wait longer than the
// quantile X. If a load ends more than X+s after its first request, for a slack
// s, then all requests that came at most s after that request wait longer than X.
// So for every interval [a, b], the loads from the store whose first request
// arrived in it must end by b+X+s, except for loads with at most d such requests
// in total. These loads take at least the sum of their times at full speed
// divided by storeParallel, the number of loads at full speed; the last one
// begins no earlier than the rate of starts allows. The loads to leave out are
// those with the most time per request, the last of them in part. This leaves out
// at least as much time as any choice of whole loads.
func LowerBound(t *Trace, r *Result, q float64) time.Duration {
	waits := make([]time.Duration, 0, len(r.ColdRequests))
	for _, req := range r.ColdRequests {
		waits = append(waits, max(0, r.ColdStarts[req.ColdStart].MinLoadTime-req.Offset))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	maxLate := (1 - q) * float64(len(r.ColdRequests))
	bound := quantile(waits, q)
	for _, slack := range slacks {
		bound = max(bound, storeBound(t, r, maxLate, slack)-slack)
	}
	return bound
}

// maxInterval is the longest interval examined. Longer ones contain gaps in which
// the store is idle and give no larger bound.
const maxInterval = time.Minute

var slacks = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}

// storeLoad is a load from the weight store, with the number of its requests
// that arrived within the slack.
type storeLoad struct {
	at, minTime time.Duration
	requests    float64
}

func storeBound(t *Trace, r *Result, maxLate float64, slack time.Duration) time.Duration {
	counts := make([]float64, len(r.ColdStarts))
	for _, req := range r.ColdRequests {
		if req.Offset <= slack {
			counts[req.ColdStart]++
		}
	}
	var loads []storeLoad
	for i, c := range r.ColdStarts {
		if c.FromStore {
			loads = append(loads, storeLoad{at: c.At, minTime: c.MinLoadTime, requests: counts[i]})
		}
	}
	sort.SliceStable(loads, func(i, j int) bool { return loads[i].at < loads[j].at })
	var bound time.Duration
	for i := range loads {
		for j := i; j < len(loads) && loads[j].at-loads[i].at <= maxInterval; j++ {
			bound = max(bound, loads[i].at-loads[j].at+minTotalTime(t, loads[i:j+1], maxLate))
		}
	}
	return bound
}

// minTotalTime returns a lower bound of the time that the loads take together,
// leaving out loads with at most maxLate requests in total.
func minTotalTime(t *Trace, loads []storeLoad, maxLate float64) time.Duration {
	sorted := append([]storeLoad(nil), loads...)
	sort.Slice(sorted, func(i, j int) bool {
		return sorted[i].minTime.Seconds()/sorted[i].requests > sorted[j].minTime.Seconds()/sorted[j].requests
	})
	var sum time.Duration
	kept := 0
	for _, l := range sorted {
		dropped := min(1, maxLate/l.requests)
		maxLate -= dropped * l.requests
		sum += time.Duration((1 - dropped) * float64(l.minTime))
		if dropped == 0 {
			kept++
		}
	}
	if kept == 0 {
		return sum / storeParallel
	}
	return max(sum/storeParallel, time.Duration(float64(kept-1)/t.StoreRate*float64(time.Second)))
}

// OracleIdleHours returns the idle accelerator hours of an oracle that knows the
// trace, has unlimited memory, and may load models as often as the replay did.
// It keeps a model loaded between its requests, except in the costliest gaps: as
// many as the loads it has left after the first load of each model.
func OracleIdleHours(t *Trace, r *Result) float64 {
	bytes := map[string]int64{}
	for _, p := range t.Pools {
		bytes[p.Name] = p.Bytes
	}
	lastEnd := map[string]time.Duration{}
	seen := map[string]bool{}
	var gaps []float64
	firstLoads := 0
	for _, req := range t.Requests {
		models := []string{req.Model}
		if spec := t.spec(req.Model); spec.Base != "" {
			models = append(models, spec.Base)
		}
		for _, m := range models {
			spec := t.spec(m)
			if !seen[m] {
				seen[m] = true
				firstLoads++
			} else if gap := req.At - lastEnd[m]; gap > 0 {
				gaps = append(gaps, gap.Hours()*float64(spec.Bytes)/float64(bytes[spec.Pool]))
			}
			lastEnd[m] = max(lastEnd[m], req.At+req.Run)
		}
	}
	sort.Float64s(gaps)
	reloads := max(0, r.Loads-firstLoads)
	var sum float64
	for _, g := range gaps[:max(0, len(gaps)-reloads)] {
		sum += g
	}
	return sum
}
