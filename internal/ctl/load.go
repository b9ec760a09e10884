package ctl

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"buckthornseam.dev/seam/internal/callerclient"
	"buckthornseam.dev/seam/internal/demo"
	"buckthornseam.dev/seam/internal/load"
	"buckthornseam.dev/seam/internal/loadplot"
)

// callerOptions are the options of commands that simulate callers.
type callerOptions struct {
	Hosts   string        `long:"hosts" value-name:"IP:PORT,..." required:"true" description:"entry hosts to ask first, separated by commas"`
	Preset  string        `long:"preset" choice:"qasr" choice:"vanua" default:"qasr" description:"teams and models"`
	Mode    string        `long:"mode" choice:"one" choice:"list" choice:"two" default:"two" description:"how callers use the addresses they are given"`
	Callers int           `long:"callers" default:"200" description:"independent callers"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"longest wait for one answer"`
	Plot    string        `long:"plot" value-name:"FILE" description:"write a plot, .svg or .png"`
	Output  string        `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

func (o callerOptions) loadOptions(progress func(done, total int)) load.Options {
	return load.Options{
		Seeds: strings.Split(o.Hosts, ","), Zones: demo.Presets()[o.Preset].Zones,
		Mode: callerclient.Mode(o.Mode), Callers: o.Callers, Timeout: o.Timeout, Progress: progress,
	}
}

// printSummary prints the summary of a run and writes the plot, if requested.
func (c command) printSummary(o callerOptions, title string, s *load.Summary) error {
	if o.Plot != "" {
		if err := loadplot.Timeline(o.Plot, title, s); err != nil {
			return err
		}
	}
	if o.Output == "json" {
		return printJSON(c.out, s)
	}
	s.Print(c.out)
	return nil
}

// progressPrinter returns a function that prints the progress of a run to
// standard error.
func progressPrinter() func(done, total int) {
	last := time.Now()
	return func(done, total int) {
		if done < total && time.Since(last) < time.Second {
			return
		}
		last = time.Now()
		fmt.Fprintf(os.Stderr, "\r%d of %d requests sent", done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	}
}

type loadCommand struct {
	command
	callerOptions
	Rate     float64       `long:"rate" default:"200" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"10s" description:"length of the run"`
	Streams  float64       `long:"streams" default:"0.5" description:"share of model requests that are streamed"`
	Services float64       `long:"services" default:"0.1" description:"share of requests to the service whose calls may not be repeated"`
	Models   int           `long:"models" default:"8" description:"models in use"`
	Tokens   int           `long:"tokens" default:"16" description:"tokens of each answer"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the run"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	models, services := demo.Presets()[c.Preset].Requests(c.Models, c.Tokens)
	requests := load.GenerateSteady(load.SteadyLoad{
		Rate: c.Rate, Duration: c.Duration, StreamShare: c.Streams, Models: models, Services: services, ServiceShare: c.Services, Seed: c.Seed,
	})
	ctx, cancel := runContext(c.Duration + c.Timeout)
	defer cancel()
	s, err := load.Run(ctx, c.loadOptions(progressPrinter()), requests)
	if err != nil {
		return err
	}
	return c.printSummary(c.callerOptions, fmt.Sprintf("%s, %.0f requests a second, mode %s", c.Preset, c.Rate, c.Mode), s)
}

type replayCommand struct {
	command
	callerOptions
	Args struct {
		Trace string `positional-arg-name:"TRACE" required:"true" description:"trace in JSON lines"`
	} `positional-args:"true"`
}

// DeviationError reports outcomes that differ from those that a trace expects.
type DeviationError struct {
	Trace string
	Count int
}

func (e *DeviationError) Error() string {
	return fmt.Sprintf("trace %s: %d outcomes differ from the expected ones", e.Trace, e.Count)
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	file, err := os.Open(c.Args.Trace)
	if err != nil {
		return &FileError{File: c.Args.Trace, Cause: err}
	}
	defer file.Close()
	header, requests, err := load.ReadTrace(file)
	if err != nil {
		return &FileError{File: c.Args.Trace, Cause: err}
	}
	var length time.Duration
	if len(requests) > 0 {
		length = time.Duration(requests[len(requests)-1].AtMS) * time.Millisecond
	}
	ctx, cancel := runContext(length + c.Timeout)
	defer cancel()
	s, err := load.Run(ctx, c.loadOptions(progressPrinter()), requests)
	if err != nil {
		return err
	}
	if err := c.printSummary(c.callerOptions, header.Trace, s); err != nil {
		return err
	}
	return c.checkOutcomes(header, s)
}

func (c *replayCommand) checkOutcomes(h load.Header, s *load.Summary) error {
	deviations := h.Outcomes.Compare(s)
	if len(deviations) == 0 {
		fmt.Fprintln(os.Stderr, "all outcomes as stated")
		return nil
	}
	w := tabwriter.NewWriter(os.Stderr, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OUTCOME\tSTATED\tSEEN")
	for _, d := range deviations {
		fmt.Fprintf(w, "%s\t%s\t%s\n", d.Outcome, d.Want, d.Got)
	}
	w.Flush()
	return &DeviationError{Trace: h.Trace, Count: len(deviations)}
}

type traceCommand struct {
	command
	Sample  string `long:"sample" choice:"qasr-month-end" choice:"vanua-fair" default:"qasr-month-end" description:"which sample"`
	Seconds int    `long:"seconds" default:"60" description:"length"`
	Seed    uint64 `long:"seed" default:"1" description:"seed"`
}

// Latency bounds that the sample traces expect. The bound of 0.96 s on the 95th
// percentile of first tokens applies to loaded models only. The samples also use
// idle models, so their bounds over all requests leave time for one load from the
// stand-in store.
const (
	sampleFirstTokenP95MS = 2500
	sampleWorstTeamP95MS  = 3500
)

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	name := "qasr"
	peak := load.Peak{Name: c.Sample, Seconds: c.Seconds, Rate: 10, PeakFactor: 4, LargestTeamShare: 0.8, ServiceShare: 0.2, Seed: c.Seed}
	if c.Sample == "vanua-fair" {
		name = "vanua"
		peak.Rate, peak.PeakFactor, peak.LargestTeamShare, peak.ServiceShare = 8, 5, 0.5, 0.1
	}
	preset := demo.Presets()[name]
	const tokens = 32
	peak.Models, peak.Services = preset.Requests(preset.Models, tokens)
	peak.Outcomes = load.Outcomes{FirstTokenP95MS: sampleFirstTokenP95MS, WorstTeamP95MS: sampleWorstTeamP95MS, RefusedShare: map[string]float64{}}
	for _, team := range preset.Teams {
		peak.Outcomes.RefusedShare[team] = 0
	}
	h, requests := load.GeneratePeak(peak)
	return load.WriteTrace(c.out, h, requests)
}
