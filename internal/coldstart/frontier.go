package coldstart

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"buckthornseam.dev/coord/placement"
)

// Point is the result of one policy: a point on the frontier between idle time
// and cold starts.
type Point struct {
	Policy          string
	IdleHours       float64
	OracleIdleHours float64       // idle hours of an oracle with as many loads
	ColdRequests    int           // requests that waited
	Loads           int           // loads ordered
	P99             time.Duration // of the requests that waited
	P99All          time.Duration // of all requests
	Mean            time.Duration // wait of all requests
	P99Bound        time.Duration // lower bound of P99
	MissedDeadlines int           // requests past their deadline
}

// Measure replays a trace under a policy and summarizes the result.
func Measure(t *Trace, p Policy) Point {
	r := Run(t, p)
	var sum time.Duration
	for _, w := range r.Waits {
		sum += w
	}
	return Point{
		Policy: p.Name, IdleHours: r.IdleHours, OracleIdleHours: OracleIdleHours(t, r), ColdRequests: len(r.Waits), Loads: r.Loads,
		P99: r.ColdQuantile(0.99), P99All: r.Quantile(0.99), Mean: sum / time.Duration(r.Requests),
		P99Bound: LowerBound(t, r, 0.99), MissedDeadlines: r.MissedDeadlines,
	}
}

// DefaultPolicy returns the policy in use: placement.DefaultOptions.
func DefaultPolicy() Policy {
	return Policy{Name: "default", Options: placement.DefaultOptions("d")}
}

// Baselines returns the policies to compare with.
func Baselines() []Policy {
	lru := placement.DefaultOptions("d")
	lru.LRU = true
	lru.ArrivalOrder = true
	lru.ColdStartCost = 0
	return []Policy{
		{Name: "own demand of each host", PerHost: true},
		{Name: "order of arrival, LRU", Options: lru},
	}
}

// FixedIdlePolicies returns policies that keep each model for one fixed time.
func FixedIdlePolicies() []Policy {
	var out []Policy
	for _, idle := range []time.Duration{15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute} {
		opt := placement.DefaultOptions("d")
		opt.ColdStartCost = 0
		out = append(out, Policy{Name: "fixed " + idle.String(), Options: opt, Idle: idle})
	}
	return out
}

// LearnedIdlePolicies returns policies that keep each model for a time learned
// from its history, for several costs of a cold start.
func LearnedIdlePolicies() []Policy {
	var out []Policy
	for _, cost := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute} {
		opt := placement.DefaultOptions("d")
		opt.ColdStartCost = cost
		out = append(out, Policy{Name: "learned " + cost.String(), Options: opt})
	}
	return out
}

// Series is one line of the plot.
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
