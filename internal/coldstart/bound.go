package coldstart

import (
	"sort"
	"time"
)

// LowerBound returns a time below which no placement can bring the given
// quantile of cold waits, for the cold starts of a replay: loads that begin no
// earlier than the first request for the model, under the weight store's
// limits. It is the larger of two bounds.
//
// Alone: a request that came x after the first one for its model waits at
// least the time of the load alone, from the best cached copy, less x.
//
// Crowd: of n requests that waited, d = (1-q)n may wait longer than X. A load
// that ends more than X+s after its first request makes all requests wait
// longer than X that came within s of the first. So for every interval [a, b]
// the loads from the store whose first request came in it must end by b+X+s,
// but for some that have at most d such requests. These loads take at least
// the sum of their times at full speed divided by the number of loads at full
// speed, and the last begins no earlier than the rate of starts allows. The
// loads left out are those that free most time for their requests, the last of
// them in part, which is at least as much as any choice of whole loads frees.
func LowerBound(t *Trace, r *Result, q float64) time.Duration {
	alone := make([]time.Duration, 0, len(r.Offsets))
	for _, o := range r.Offsets {
		alone = append(alone, max(0, r.Colds[o.Cold].Alone-o.After))
	}
	sort.Slice(alone, func(i, j int) bool { return alone[i] < alone[j] })
	late := (1 - q) * float64(len(r.Offsets))
	bound := quantile(alone, q)
	for _, slack := range crowdSlacks {
		bound = max(bound, crowd(t, r, late, slack)-slack)
	}
	return bound
}

// crowdSpan is the longest interval examined; longer ones hold gaps in which
// the store is idle and give no larger bound.
const crowdSpan = time.Minute

var crowdSlacks = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}

// crowdLoad is a load from the store with its requests within the slack.
type crowdLoad struct {
	at, alone time.Duration
	requests  float64
}

func crowd(t *Trace, r *Result, late float64, slack time.Duration) time.Duration {
	counts := make([]float64, len(r.Colds))
	for _, o := range r.Offsets {
		if o.After <= slack {
			counts[o.Cold]++
		}
	}
	var loads []crowdLoad
	for i, c := range r.Colds {
		if c.Store {
			loads = append(loads, crowdLoad{at: c.At, alone: c.Alone, requests: counts[i]})
		}
	}
	sort.SliceStable(loads, func(i, j int) bool { return loads[i].at < loads[j].at })
	var bound time.Duration
	for i := range loads {
		for j := i; j < len(loads) && loads[j].at-loads[i].at <= crowdSpan; j++ {
			bound = max(bound, loads[i].at-loads[j].at+fastest(t, loads[i:j+1], late))
		}
	}
	return bound
}

// fastest returns the shortest time in which the loads can end, but for some
// with at most late requests.
func fastest(t *Trace, loads []crowdLoad, late float64) time.Duration {
	left := append([]crowdLoad(nil), loads...)
	sort.Slice(left, func(i, j int) bool {
		return left[i].alone.Seconds()/left[i].requests > left[j].alone.Seconds()/left[j].requests
	})
	var sum time.Duration
	whole := 0
	for _, l := range left {
		out := min(1, late/l.requests)
		late -= out * l.requests
		sum += time.Duration((1 - out) * float64(l.alone))
		if out == 0 {
			whole++
		}
	}
	if whole == 0 {
		return sum / storeParallel
	}
	return max(sum/storeParallel, time.Duration(float64(whole-1)/t.StoreRate*float64(time.Second)))
}

// OracleIdleHours returns the idle accelerator hours of an oracle that knows
// the trace, has memory without limit, and may be cold as often as the replay
// was: it keeps each model over every gap between its requests but the
// costliest ones, which it spends its cold starts on.
func OracleIdleHours(t *Trace, r *Result) float64 {
	bytes := map[string]int64{}
	for _, p := range t.Pools {
		bytes[p.Name] = p.Bytes
	}
	ends := map[string]time.Duration{}
	seen := map[string]bool{}
	var gaps []float64
	first := 0
	for _, req := range t.Requests {
		models := []string{req.Model}
		if spec := t.spec(req.Model); spec.Base != "" {
			models = append(models, spec.Base)
		}
		for _, m := range models {
			spec := t.spec(m)
			if !seen[m] {
				seen[m] = true
				first++
			} else if gap := req.At - ends[m]; gap > 0 {
				gaps = append(gaps, gap.Hours()*float64(spec.Bytes)/float64(bytes[spec.Pool]))
			}
			ends[m] = max(ends[m], req.At+req.Run)
		}
	}
	sort.Float64s(gaps)
	cold := max(0, r.Loads-first)
	var sum float64
	for _, g := range gaps[:max(0, len(gaps)-cold)] {
		sum += g
	}
	return sum
}
