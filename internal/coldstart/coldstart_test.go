package coldstart

import (
	"flag"
	"path/filepath"
	"testing"

	"buckthornseam.dev/coord/placement"
)

var (
	frontier = flag.String("coldstart.frontier", "", "directory to write the frontier plots to")
	seeds    = flag.Uint64("coldstart.seeds", 1, "seeds of each trace")
)

var users = map[string]func(uint64) *Trace{"qasr": Qasr, "vanua": Vanua}

// Bars of the users' issue.
const (
	maxOverBound  = 1.15 // cold-start p99 over its lower bound
	maxOverOracle = 1.2  // idle accelerator hours over the oracle's
)

func each(t *testing.T, f func(t *testing.T, tr *Trace)) {
	for name, make := range users {
		for seed := uint64(1); seed <= *seeds; seed++ {
			t.Run(name, func(t *testing.T) { f(t, make(seed)) })
		}
	}
}

func show(t *testing.T, tr *Trace, p Point) {
	t.Logf("%s | %s | %d of %d cold, %d loads | p99 %.2f s, bound %.2f s, ratio %.2f | p99 of all %.2f s, mean %.3f s | idle %.2f h, oracle %.2f h, ratio %.2f | %d missed",
		tr.Name, p.Policy, p.Cold, len(tr.Requests), p.Loads, p.P99.Seconds(), p.Bound.Seconds(), p.P99.Seconds()/p.Bound.Seconds(),
		p.P99All.Seconds(), p.Mean.Seconds(), p.IdleHours, p.Oracle, p.IdleHours/p.Oracle, p.Missed)
}

// TestBetterThanBaselines compares the tail of all requests' waits with that of
// loads on each host's own demand. Eviction by least recent use is shown only:
// on these traces it comes out much the same.
func TestBetterThanBaselines(t *testing.T) {
	each(t, func(t *testing.T, tr *Trace) {
		ours := Measure(tr, Default())
		show(t, tr, ours)
		for _, p := range Baselines() {
			base := Measure(tr, p)
			show(t, tr, base)
			if p.OwnDemand && (ours.P99All >= base.P99All || ours.Missed > base.Missed) {
				t.Errorf("not better than %s", p.Name)
			}
		}
	})
}

func TestColdStartNearBound(t *testing.T) {
	each(t, func(t *testing.T, tr *Trace) {
		p := Measure(tr, Default())
		if ratio := p.P99.Seconds() / p.Bound.Seconds(); ratio > maxOverBound {
			t.Errorf("p99 of cold starts is %.2f times its lower bound, more than %.2f", ratio, maxOverBound)
		}
	})
}

func TestIdleNearOracle(t *testing.T) {
	each(t, func(t *testing.T, tr *Trace) {
		p := Measure(tr, Default())
		if ratio := p.IdleHours / p.Oracle; ratio > maxOverOracle {
			t.Errorf("idle accelerator hours are %.2f times the oracle's, more than %.2f", ratio, maxOverOracle)
		}
	})
}

func TestMemoryInReplay(t *testing.T) {
	r := Run(Qasr(2), Policy{Options: placement.DefaultOptions("d")})
	if r.Overcommits > 0 || len(r.Waits) == 0 {
		t.Errorf("%d overcommits, %d cold requests", r.Overcommits, len(r.Waits))
	}
}

// TestFrontier writes the plots; it runs with -coldstart.frontier only.
func TestFrontier(t *testing.T) {
	if *frontier == "" {
		t.Skip("needs -coldstart.frontier")
	}
	for name, make := range users {
		tr := make(1)
		series := []Series{{Name: "fixed time"}, {Name: "learned time"}}
		for i, policies := range [][]Policy{FixedIdle(), Learned()} {
			for _, p := range policies {
				pt := Measure(tr, p)
				show(t, tr, pt)
				series[i].Points = append(series[i].Points, pt)
			}
		}
		file := filepath.Join(*frontier, "place-frontier-"+name+".svg")
		if err := Plot(file, name+": idle time against cold starts", series); err != nil {
			t.Fatal(err)
		}
	}
}
