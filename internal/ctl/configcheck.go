package ctl

import (
	"fmt"
	"io"
	"os"

	"buckthornseam.dev/seam/internal/configcheck"
)

// liveConfig stands for the configuration in the store.
const liveConfig = "live"

type configCheckCommand struct {
	command
	format  configcheck.Format
	Against string `long:"against" value-name:"FILE|live" description:"the version in force: a file, or live for the one in the store"`
	Store   string `long:"store" value-name:"IP:PORT" env:"SEAM_STORE" description:"address of the store, for --against live"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"the configuration, - for standard input" required:"yes"`
	} `positional-args:"yes"`
}

// FaultyConfigError reports a configuration that must not be sent.
type FaultyConfigError struct {
	File   string
	Errors int
}

func (e *FaultyConfigError) Error() string {
	return fmt.Sprintf("%s has %d errors; do not send it", e.File, e.Errors)
}

// Execute implements flags.Commander. The exit status is ExitUsage if there are errors; warnings do not change it.
func (c *configCheckCommand) Execute([]string) error {
	next, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	var inForce configcheck.Document
	switch c.Against {
	case "":
	case liveConfig:
		ctx, cancel := signalContext()
		defer cancel()
		if inForce, err = c.format.InForce(ctx, c.Store); err != nil {
			return err
		}
	default:
		if inForce, err = c.read(c.Against); err != nil {
			return err
		}
	}
	if n := configcheck.Report(c.out, c.Args.File, next, inForce); n > 0 {
		return &FaultyConfigError{File: c.Args.File, Errors: n}
	}
	return nil
}

func (c *configCheckCommand) read(file string) (configcheck.Document, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(c.in)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	document, err := c.format.Parse(data)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return document, nil
}
