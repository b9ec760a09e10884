package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

type modelsCommand struct {
	command
	HostOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *modelsCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	list, err := c.newClient().Models(ctx, c.Args.Name)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.out, list)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MODEL\tSERVING\tWAITING\tRUNNING\tTARGETS\tREASON")
	for _, m := range list {
		var slots []string
		for _, slot := range m.Slots {
			slots = append(slots, slot.Target+" "+slot.State)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", m.Model, m.Serving, m.Waiting, m.Running, strings.Join(slots, ", "), m.Reason)
	}
	w.Flush()
	return nil
}

type quarantineCommand struct {
	command
	HostOptions
	Release string `long:"release" value-name:"TEAM/FINGERPRINT" description:"let a request run again"`
}

// ReleaseError reports an argument of --release that is not of the form
// TEAM/FINGERPRINT.
type ReleaseError struct {
	Given string
}

func (e *ReleaseError) Error() string {
	return fmt.Sprintf("--release %q: want TEAM/FINGERPRINT as listed", e.Given)
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	if c.Release != "" {
		team, fingerprint, ok := strings.Cut(c.Release, "/")
		if !ok {
			return &ReleaseError{Given: c.Release}
		}
		return c.newClient().Release(ctx, team, fingerprint)
	}
	list, err := c.newClient().Quarantined(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.out, list)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tFINGERPRINT\tSTATE\tAGE\tTARGETS LOST")
	for _, e := range list {
		state := "quarantined"
		if e.Released {
			state = "released"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Team, e.Fingerprint, state, e.Age.Round(time.Second), strings.Join(e.Losses, ", "))
	}
	w.Flush()
	return nil
}
