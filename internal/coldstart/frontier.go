package coldstart

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"buckthornseam.dev/coord/placement"
)

// Point is one policy on the frontier of idle time and cold starts.
type Point struct {
	Policy    string
	IdleHours float64
	Oracle    float64       // idle hours of the oracle with as many loads
	Cold      int           // requests that waited
	Loads     int           // loads ordered
	P99       time.Duration // of the requests that waited
	P99All    time.Duration // of all requests
	Mean      time.Duration // wait of all requests
	Bound     time.Duration // lower bound of P99
	Missed    int           // requests past their deadline
}

// Measure replays a trace under a policy.
func Measure(t *Trace, p Policy) Point {
	r := Run(t, p)
	var sum time.Duration
	for _, w := range r.Waits {
		sum += w
	}
	return Point{
		Policy: p.Name, IdleHours: r.IdleHours, Oracle: OracleIdleHours(t, r), Cold: len(r.Waits), Loads: r.Loads,
		P99: r.P(0.99), P99All: r.PAll(0.99), Mean: sum / time.Duration(r.Requests),
		Bound: LowerBound(t, r, 0.99), Missed: r.Missed,
	}
}

// Default returns the policy in use.
func Default() Policy {
	return Policy{Name: "default", Options: placement.DefaultOptions("d")}
}

// Baselines returns the policies to compare with.
func Baselines() []Policy {
	lru := placement.DefaultOptions("d")
	lru.LRU = true
	lru.ArrivalOrder = true
	lru.ColdStartCost = 0
	return []Policy{
		{Name: "own demand of each host", OwnDemand: true},
		{Name: "order of arrival, LRU", Options: lru},
	}
}

// FixedIdle returns policies that keep each model for one fixed time.
func FixedIdle() []Policy {
	var out []Policy
	for _, idle := range []time.Duration{15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute} {
		opt := placement.DefaultOptions("d")
		opt.ColdStartCost = 0
		out = append(out, Policy{Name: "fixed " + idle.String(), Options: opt, Idle: idle})
	}
	return out
}

// Learned returns policies that keep models by their history.
func Learned() []Policy {
	var out []Policy
	for _, cold := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute} {
		opt := placement.DefaultOptions("d")
		opt.ColdStartCost = cold
		out = append(out, Policy{Name: "learned " + cold.String(), Options: opt})
	}
	return out
}

// Series is a line of the plot.
type Series struct {
	Name   string
	Points []Point
}

// Plot writes the frontier as an SVG file: idle accelerator hours against the
// mean wait of all requests for a model to be loaded.
func Plot(file, title string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "mean wait for a model over all requests (s)"
	p.X.Min = 0
	p.Y.Min = 0
	var lines []any
	for _, s := range series {
		xys := make(plotter.XYs, len(s.Points))
		for i, pt := range s.Points {
			xys[i] = plotter.XY{X: pt.IdleHours, Y: pt.Mean.Seconds()}
		}
		lines = append(lines, s.Name, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
