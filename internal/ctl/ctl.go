// Package ctl implements the commands of seamctl.
package ctl

import (
	"context"
	"errors"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"buckthornseam.dev/seam/internal/adminclient"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/configcheck"
	"buckthornseam.dev/seam/internal/demo"
	"buckthornseam.dev/seam/internal/settings"
)

// Exit statuses of seamctl.
const (
	ExitOK       = 0 // the command succeeded
	ExitFailed   = 1 // the command failed
	ExitUsage    = 2 // invalid command line, file or instance
	ExitConflict = 3 // the stored version is not the one named
	ExitNotFound = 4 // the instance or the quarantined request does not exist
	ExitUnknown  = 5 // no valid response or an unknown outcome: the change may or may not be stored
	ExitOutcome  = 6 // an outcome differs from the expected one
)

// ExitCode returns the exit status for an error.
func ExitCode(err error) int {
	var usage *flags.Error
	var invalid *settings.InvalidError
	var instance *config.InvalidInstanceError
	var file *FileError
	var mismatch *demo.MismatchError
	var deviation *DeviationError
	var faulty *FaultyConfigError
	var problem *adminclient.ProblemError
	var call *adminclient.CallError
	switch {
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &instance), errors.As(err, &file), errors.As(err, &faulty):
		return ExitUsage
	case errors.As(err, &mismatch), errors.As(err, &deviation):
		return ExitOutcome
	case errors.As(err, &call):
		return ExitUnknown
	case errors.As(err, &problem):
		return problemExitCode(problem)
	}
	return ExitFailed
}

func problemExitCode(p *adminclient.ProblemError) int {
	switch p.Problem.Code {
	case "conflict":
		return ExitConflict
	case "not_found":
		return ExitNotFound
	case "unknown":
		return ExitUnknown
	case "invalid":
		return ExitUsage
	}
	return ExitFailed
}

// HostOptions are the options of commands that call a host.
type HostOptions struct {
	Host   string `short:"H" long:"host" value-name:"IP:PORT" default:"127.0.0.1:7002" env:"SEAM_ADMIN" description:"admin interface of any entry host"`
	Token  string `long:"token" value-name:"TOKEN" env:"SEAM_TOKEN" description:"operators' token"`
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

func (o HostOptions) newClient() *adminclient.Client { return adminclient.New(o.Host, o.Token) }

// command holds the input and output of a command.
type command struct {
	in  io.Reader
	out io.Writer
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// NewParser returns the command line of seamctl. configs is the format of the configurations that operators send.
func NewParser(in io.Reader, out io.Writer, configs configcheck.Format) (*flags.Parser, error) {
	base := command{in: in, out: out}
	p := flags.NewNamedParser("seamctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operates and tests buckthornseam"
	p.LongDescription = "Submits and withdraws template instances, shows what is in force, checks files and runs the demo."
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"check", "check settings or instance files", &checkCommand{command: base}},
		{"apply", "submit template instances from a file", &applyCommand{command: base}},
		{"delete", "withdraw a template instance", &deleteCommand{command: base}},
		{"get", "show template instances", &getCommand{command: base}},
		{"status", "show the status of a host", &statusCommand{command: base}},
		{"hash-key", "print the stored form of a key read from standard input", &hashCommand{command: base}},
		{"models", "show why models are where they are", &modelsCommand{command: base}},
		{"quarantine", "list or release requests that crash their targets", &quarantineCommand{command: base}},
		{"load", "send requests as callers do and sum up the outcomes", &loadCommand{command: base}},
		{"replay", "send a recorded trace and compare the outcomes with those it states", &replayCommand{command: base}},
		{"trace", "print a sample trace", &traceCommand{command: base}},
		{"stand-ins", "run stand-ins for all outside systems on loopback", &standInsCommand{command: base}},
		{"explain", "tell the story of one request from the logs of all hosts on standard input", &explainCommand{command: base}},
		{"demo", "run hosts and stand-ins in one process and send them requests", &demoCommand{command: base}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			return nil, err
		}
	}
	group, err := p.AddCommand("config", "check a configuration", "Checks a configuration before it is sent.", &struct{}{})
	if err != nil {
		return nil, err
	}
	const short = "report errors, entries that never match, contradictions and differences from the version in force"
	_, err = group.AddCommand("check", short, short, &configCheckCommand{command: base, format: configs})
	return p, err
}
