package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"buckthornseam.dev/seam/internal/admin"
	"buckthornseam.dev/seam/internal/adminclient"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/demo"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
)

// FileError reports a file that cannot be read or decoded.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// fileInstance is an instance in a file. Version 0 stands for the stored version.
type fileInstance struct {
	Name    string           `json:"name"`
	Version platform.Version `json:"version,omitempty,string"`
	config.Instance
}

// readInstances reads a JSON list of instances; "-" is standard input.
func readInstances(file string, stdin io.Reader) ([]fileInstance, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	var list []fileInstance
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&list); err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return list, nil
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type checkCommand struct {
	command
	Settings  string `long:"settings" value-name:"FILE" description:"settings of seamd"`
	Instances string `long:"instances" value-name:"FILE" description:"list of template instances"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings != "" {
		if _, err := settings.Read(c.Settings); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s: valid settings\n", c.Settings)
	}
	if c.Instances == "" {
		return nil
	}
	list, err := readInstances(c.Instances, c.in)
	if err != nil {
		return err
	}
	templates, err := config.Templates()
	if err != nil {
		return err
	}
	invalidFile := &config.InvalidInstanceError{Instance: c.Instances}
	for _, inst := range list {
		var invalid *config.InvalidInstanceError
		if _, err := config.Render(templates, inst.Name, inst.Instance); errors.As(err, &invalid) {
			invalidFile.Faults = append(invalidFile.Faults, invalid.Faults...)
		}
	}
	if len(invalidFile.Faults) > 0 {
		return invalidFile
	}
	fmt.Fprintf(c.out, "%s: %d valid instances\n", c.Instances, len(list))
	return nil
}

type applyCommand struct {
	command
	HostOptions
	File string        `short:"f" long:"file" value-name:"FILE" required:"true" description:"JSON list of instances, - for standard input"`
	Wait time.Duration `long:"wait" default:"10s" description:"longest wait for the changes to be in force on every host, 0 for none"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	list, err := readInstances(c.File, c.in)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	client := c.newClient()
	var stored []admin.Instance
	for _, inst := range list {
		if inst.Version == 0 {
			inst.Version, err = storedVersion(client, inst.Name)
			if err != nil {
				return err
			}
		}
		out, err := client.Put(ctx, inst.Name, inst.Version, inst.Instance)
		if err != nil {
			return &InstanceError{Instance: inst.Name, Cause: err}
		}
		stored = append(stored, out)
		if c.Output == "text" {
			fmt.Fprintf(c.out, "%s stored at version %d\n", out.Name, out.Version)
		}
	}
	last, err := c.waitInForce(client, stored)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.out, stored)
	}
	if last.Message != "" {
		fmt.Fprintln(c.out, last.Message)
	}
	return nil
}

// waitInForce waits for the last change to be in force, which implies that the
// earlier ones are.
func (c *applyCommand) waitInForce(client *adminclient.Client, stored []admin.Instance) (admin.Outcome, error) {
	if len(stored) == 0 || c.Wait < time.Second {
		return admin.Outcome{}, nil
	}
	ctx, cancel := signalContext()
	defer cancel()
	last := stored[len(stored)-1]
	return client.Progress(ctx, last.Name, last.Version, c.Wait)
}

// InstanceError reports the instance for which a command failed.
type InstanceError struct {
	Instance string
	Cause    error
}

func (e *InstanceError) Error() string { return fmt.Sprintf("instance %s: %v", e.Instance, e.Cause) }

// Unwrap returns the cause.
func (e *InstanceError) Unwrap() error { return e.Cause }

// storedVersion returns the stored version of an instance, 0 if it does not exist.
func storedVersion(client *adminclient.Client, name string) (platform.Version, error) {
	ctx, cancel := signalContext()
	defer cancel()
	inst, err := client.Get(ctx, name)
	var problem *adminclient.ProblemError
	if errors.As(err, &problem) && problem.Problem.Code == "not_found" {
		return 0, nil
	}
	return inst.Version, err
}

type deleteCommand struct {
	command
	HostOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	client := c.newClient()
	inst, err := client.Get(ctx, c.Args.Name)
	if err != nil {
		return &InstanceError{Instance: c.Args.Name, Cause: err}
	}
	outcome, err := client.Delete(ctx, inst.Name, inst.Version)
	if err != nil {
		return &InstanceError{Instance: c.Args.Name, Cause: err}
	}
	if c.Output == "json" {
		return printJSON(c.out, outcome)
	}
	fmt.Fprintf(c.out, "%s withdrawn at version %d\n", inst.Name, outcome.Version)
	return nil
}

type getCommand struct {
	command
	HostOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	list, err := c.fetch()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.out, list)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tTEMPLATE\tVERSION\tPARAMETERS")
	for _, inst := range list {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", inst.Name, inst.Template, inst.Version, formatParams(inst))
	}
	w.Flush()
	return nil
}

func (c *getCommand) fetch() ([]admin.Instance, error) {
	ctx, cancel := signalContext()
	defer cancel()
	if c.Args.Name == "" {
		return c.newClient().List(ctx)
	}
	inst, err := c.newClient().Get(ctx, c.Args.Name)
	if err != nil {
		return nil, &InstanceError{Instance: c.Args.Name, Cause: err}
	}
	return []admin.Instance{inst}, nil
}

func formatParams(inst admin.Instance) string {
	data, err := json.Marshal(inst.Params)
	if err != nil {
		return "?"
	}
	return string(data)
}

type statusCommand struct {
	command
	HostOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	s, err := c.newClient().Status(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.out, s)
	}
	fmt.Fprintf(c.out, "host %s in %s, ready %t, configuration version %d\n", s.Self.ID.Name, s.Self.Zone, s.Ready, s.Version)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tSTATE\tADDRESS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.ID.Name, m.Zone, m.State, m.Address)
	}
	w.Flush()
	return nil
}

type hashCommand struct{ command }

// Execute implements flags.Commander.
func (c *hashCommand) Execute([]string) error {
	data, err := io.ReadAll(c.in)
	if err != nil {
		return &FileError{File: "standard input", Cause: err}
	}
	fmt.Fprintln(c.out, config.HashKey(strings.TrimSpace(string(data))))
	return nil
}

type demoCommand struct {
	command
	Serve bool `long:"serve" description:"keep the hosts up afterwards"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	return demo.Run(ctx, c.out, c.Serve)
}
