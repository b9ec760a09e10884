// Command seamd is the daemon of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/logsink"
	"buckthornseam.dev/seam/internal/panics"
	"buckthornseam.dev/seam/internal/platformhost"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/platform"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings in JSON; not needed where the platform names its own"`
	Check  bool   `long:"check-config" description:"check the settings and exit"`
}

func main() {
	// Register before anything else: an earlier signal terminates the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(run(signals))
}

func run(signals <-chan os.Signal) int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	if file, ok := platform.SettingsFile(); ok && opts.Config == "" {
		return runPlatformHost(file, opts.Check, signals)
	}
	s, err := settings.Read(opts.Config)
	if err != nil {
		printFaults(err)
		return exitSettings
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	if err := serve(s, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// timestampFormat has milliseconds, so that log lines of several hosts can be
// ordered.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// libraryLog writes the output of the standard log package, which libraries use,
// to the log of the host.
type libraryLog struct{ log *logrus.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(p []byte) (int, error) {
	l.log.WithField("event", "library").Info(strings.TrimSpace(string(p)))
	return len(p), nil
}

// runPlatformHost runs a host with the settings file of the platform.
func runPlatformHost(file string, checkOnly bool, signals <-chan os.Signal) int {
	hostSettings, err := platform.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return exitOK
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	log.SetOutput(sink)
	logrus.SetFormatter(log.Formatter) // package invariant logs to the standard logger of logrus
	logrus.SetOutput(sink)
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log})
	panics.Contain()
	host := platformhost.New(hostSettings, platform.Adapter(hostSettings.Store), log)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				host.Reload()
				continue
			}
			host.Stop()
		}
	}()
	if err := host.Run(context.Background()); err != nil {
		log.WithField("event", "host_failed").Error(err.Error())
		return exitFailed
	}
	return exitOK
}

// printFaults prints each fault of a settings file on a line of its own.
func printFaults(err error) {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	for _, f := range invalid.Faults {
		fmt.Fprintf(os.Stderr, "%s: %s: %s\n", invalid.File, f.Path, f.Reason)
	}
}

func serve(s settings.Settings, signals <-chan os.Signal) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	listeners, err := app.Listen(s)
	if err != nil {
		return err
	}
	host, err := app.New(s, listeners, log)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				log.Info("SIGHUP ignored: settings are read at start only")
				continue
			}
			host.Stop()
		}
	}()
	return host.Run(context.Background())
}
