package coldstart

import (
	"flag"
	"path/filepath"
	"testing"

	"buckthornseam.dev/coord/placement"
)

var (
	frontierDir = flag.String("coldstart.frontier", "", "directory to write the frontier plots to")
	seeds       = flag.Uint64("coldstart.seeds", 1, "seeds of each trace")
)

var traces = map[string]func(uint64) *Trace{"qasr": Qasr, "vanua": Vanua}

// Limits that the users require.
const (
	maxBoundRatio  = 1.15 // cold-start p99 over its lower bound
	maxOracleRatio = 1.2  // idle accelerator hours over the oracle's
)

func forEachTrace(t *testing.T, f func(t *testing.T, tr *Trace)) {
	for name, newTrace := range traces {
		for seed := uint64(1); seed <= *seeds; seed++ {
			t.Run(name, func(t *testing.T) { f(t, newTrace(seed)) })
		}
	}
}

func logPoint(t *testing.T, tr *Trace, p Point) {
	t.Logf("%s | %s | %d of %d cold, %d loads | p99 %.2f s, bound %.2f s, ratio %.2f | p99 of all %.2f s, mean %.3f s | idle %.2f h, oracle %.2f h, ratio %.2f | %d missed",
		tr.Name, p.Policy, p.ColdRequests, len(tr.Requests), p.Loads, p.P99.Seconds(), p.P99Bound.Seconds(), p.P99.Seconds()/p.P99Bound.Seconds(),
		p.P99All.Seconds(), p.Mean.Seconds(), p.IdleHours, p.OracleIdleHours, p.IdleHours/p.OracleIdleHours, p.MissedDeadlines)
}

// TestBetterThanBaselines compares the p99 wait of all requests and the missed
// deadlines with those of the baseline in which each host loads models for its own
// demand. The LRU baseline is only logged: its results are close to those of the
// default policy on these traces.
func TestBetterThanBaselines(t *testing.T) {
	forEachTrace(t, func(t *testing.T, tr *Trace) {
		current := Measure(tr, DefaultPolicy())
		logPoint(t, tr, current)
		for _, p := range Baselines() {
			base := Measure(tr, p)
			logPoint(t, tr, base)
			if p.PerHost && (current.P99All >= base.P99All || current.MissedDeadlines > base.MissedDeadlines) {
				t.Errorf("not better than %s", p.Name)
			}
		}
	})
}

func TestColdStartNearBound(t *testing.T) {
	forEachTrace(t, func(t *testing.T, tr *Trace) {
		p := Measure(tr, DefaultPolicy())
		if ratio := p.P99.Seconds() / p.P99Bound.Seconds(); ratio > maxBoundRatio {
			t.Errorf("p99 of cold starts is %.2f times its lower bound, more than %.2f", ratio, maxBoundRatio)
		}
	})
}

func TestIdleNearOracle(t *testing.T) {
	forEachTrace(t, func(t *testing.T, tr *Trace) {
		p := Measure(tr, DefaultPolicy())
		if ratio := p.IdleHours / p.OracleIdleHours; ratio > maxOracleRatio {
			t.Errorf("idle accelerator hours are %.2f times the oracle's, more than %.2f", ratio, maxOracleRatio)
		}
	})
}

func TestReplayStaysWithinMemory(t *testing.T) {
	r := Run(Qasr(2), Policy{Options: placement.DefaultOptions("d")})
	if r.Overcommits > 0 || len(r.Waits) == 0 {
		t.Errorf("%d overcommits, %d cold requests", r.Overcommits, len(r.Waits))
	}
}

// TestFrontier writes the frontier plots. It runs only with -coldstart.frontier.
func TestFrontier(t *testing.T) {
	if *frontierDir == "" {
		t.Skip("needs -coldstart.frontier")
	}
	for name, newTrace := range traces {
		tr := newTrace(1)
		series := []Series{{Name: "fixed time"}, {Name: "learned time"}}
		for i, policies := range [][]Policy{FixedIdlePolicies(), LearnedIdlePolicies()} {
			for _, p := range policies {
				pt := Measure(tr, p)
				logPoint(t, tr, pt)
				series[i].Points = append(series[i].Points, pt)
			}
		}
		file := filepath.Join(*frontierDir, "place-frontier-"+name+".svg")
		if err := Plot(file, name+": idle time against cold starts", series); err != nil {
			t.Fatal(err)
		}
	}
}
