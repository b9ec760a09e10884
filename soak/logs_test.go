package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
)

// checkCrashes fails the test if a daemon's log has the trace of a panic. The daemon that was started next
// would hide it otherwise.
func (s *soak) checkCrashes() {
	for _, p := range s.hosts {
		data, err := os.ReadFile(p.settingsFile + ".log")
		if err != nil {
			s.t.Error(err)
		}
		if at := panicAt(data); at >= 0 {
			s.t.Errorf("crash: %s ended by itself: %.400s", p.name, data[at+1:])
		}
	}
}

// dumpStuckHosts has the hosts that are not ready write the stacks of their goroutines to their logs, and end.
func (s *soak) dumpStuckHosts() {
	for _, p := range s.hosts {
		if !p.isReady() {
			s.t.Logf("%s is not ready; its log ends with the stacks of its goroutines", p.name)
			p.signal(syscall.SIGQUIT)
		}
	}
}

// keepLogs copies the daemons' logs to logDir if the seed failed and logDir is set.
func (s *soak) keepLogs() {
	if !s.t.Failed() || *logDir == "" {
		return
	}
	for _, p := range s.hosts {
		data, err := os.ReadFile(p.settingsFile + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDir, filepath.Base(s.t.Name())+"-"+p.name+".log"), data, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
}

// panicAt returns where the trace of a panic begins, or the log line of one that was contained; below 0: there is none.
func panicAt(log []byte) int {
	if at := bytes.Index(log, []byte("\npanic: ")); at >= 0 {
		return at
	}
	return bytes.Index(log, []byte(`"event":"panic"`))
}
