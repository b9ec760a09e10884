// Package loadplot plots the results of load runs.
package loadplot

import (
	"image/color"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"buckthornseam.dev/seam/internal/load"
)

// Size of a plot.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// PlotError reports a plot that cannot be drawn or written.
type PlotError struct {
	File  string
	Cause error
}

func (e *PlotError) Error() string { return "plot " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Cause }

// Timeline plots the time to the first token over the time of a run, in one
// colour for each team, with a cross for each request that was not served. The
// extension of the file name selects the format: .svg or .png.
func Timeline(file, title string, s *load.Summary) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "first token (ms)"
	p.Legend.Top = true
	for i, team := range teamNames(s.Points) {
		served, failed := splitByClass(s.Points, team)
		if err := addScatter(p, team, served, draw.CircleGlyph{}, plotutil.Color(i)); err != nil {
			return &PlotError{File: file, Cause: err}
		}
		if err := addScatter(p, team+" not served", failed, draw.CrossGlyph{}, color.Black); err != nil {
			return &PlotError{File: file, Cause: err}
		}
	}
	if err := p.Save(width, height, file); err != nil {
		return &PlotError{File: file, Cause: err}
	}
	return nil
}

func addScatter(p *plot.Plot, name string, points plotter.XYs, shape draw.GlyphDrawer, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	s.Color = c
	s.Radius = vg.Points(1.5)
	s.Shape = shape
	p.Add(s)
	p.Legend.Add(name, s)
	return nil
}

func teamNames(points []load.Point) []string {
	seen := map[string]bool{}
	var out []string
	for _, pt := range points {
		if !seen[pt.Team] {
			seen[pt.Team] = true
			out = append(out, pt.Team)
		}
	}
	sort.Strings(out)
	return out
}

// splitByClass returns the points of a team's served requests and of its other requests.
func splitByClass(points []load.Point, team string) (served, failed plotter.XYs) {
	start := startTime(points)
	for _, pt := range points {
		if pt.Team != team {
			continue
		}
		xy := plotter.XY{X: pt.At.Sub(start).Seconds(), Y: float64(pt.FirstToken) / float64(time.Millisecond)}
		if pt.Class == load.ClassOK {
			served = append(served, xy)
		} else {
			failed = append(failed, xy)
		}
	}
	return served, failed
}

func startTime(points []load.Point) time.Time {
	var start time.Time
	for _, pt := range points {
		if start.IsZero() || pt.At.Before(start) {
			start = pt.At
		}
	}
	return start
}
