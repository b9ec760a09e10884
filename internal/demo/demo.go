package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
)

// MismatchError reports the number of demo steps with an unexpected outcome.
type MismatchError struct {
	Count int
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%d demo steps had an unexpected outcome", e.Count)
}

// Run runs the demo and writes its progress and a table of outcomes to out. With
// serve set it then keeps the cluster running until ctx ends.
func Run(ctx context.Context, out io.Writer, serve bool) error {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	fmt.Fprintln(out, "starting 3 entry hosts, 4 engines, 3 services, object API and weight store on loopback")
	c, err := Start(Options{
		Hosts: 3, Zones: []string{"aqaba-a", "maan-b", "karak-c"}, Engines: 4,
		TokenDelay: 5 * time.Millisecond, ReportLag: 100 * time.Millisecond, HostListTTL: 100 * time.Millisecond, Log: quiet,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.ApplySample(ctx); err != nil {
		return err
	}
	outcomes := c.runSteps(ctx, out)
	failed := printTable(out, outcomes)
	if serve {
		c.waitForInterrupt(ctx, out)
	}
	if failed > 0 {
		return &MismatchError{Count: failed}
	}
	return nil
}

// ApplySample creates the instances of the sample configuration and waits until all
// hosts have applied them.
func (c *Cluster) ApplySample(ctx context.Context) error {
	var last platform.Version
	for _, inst := range sample() {
		v, err := c.putInstance(ctx, inst)
		if err != nil {
			return err
		}
		last = v
	}
	return c.AwaitVersion(ctx, last)
}

func (c *Cluster) runSteps(ctx context.Context, out io.Writer) []Outcome {
	var outcomes []Outcome
	all := steps()
	for i, s := range all {
		fmt.Fprintf(out, "[%2d/%d] %s ... ", i+1, len(all), s.name)
		start := time.Now()
		o := Outcome{Step: s.name, Want: s.want, Got: s.run(ctx, c)}
		fmt.Fprintf(out, "%s (%d ms)\n", o.Got, time.Since(start).Milliseconds())
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// printTable writes the outcomes and returns the number of unexpected ones.
func printTable(out io.Writer, outcomes []Outcome) int {
	failed := 0
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STEP\tSTATED\tSEEN\tRESULT")
	for _, o := range outcomes {
		result := "ok"
		if !o.OK() {
			result = "DIFFERS"
			failed++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Step, o.Want, o.Got, result)
	}
	w.Flush()
	fmt.Fprintf(out, "\n%d of %d outcomes as stated\n", len(outcomes)-failed, len(outcomes))
	return failed
}

func (c *Cluster) waitForInterrupt(ctx context.Context, out io.Writer) {
	fmt.Fprintf(out, "\nThe hosts stay up until interrupted. Try:\n\n  curl -sN %s%s \\\n    -H 'Authorization: Bearer %s' \\\n    -d '%s'\n", c.Hosts[0].URL(), chatPath, qasrKey, chat("invoice-draft", true))
	<-ctx.Done()
}
