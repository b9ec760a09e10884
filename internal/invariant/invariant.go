// Package invariant checks invariants at run time. A violation is counted and
// logged; in tests it is also fatal.
package invariant

import (
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"
)

// Name identifies an invariant. docs/INVARIANTS.md lists each with its
// mechanism, its assertion and its test.
type Name string

// The invariants, one for each line under "What must always hold" in the user
// requirements.
const (
	ReplicasDecided   Name = "replicas_decided"    // no more replicas are loaded than decided
	MemoryWithinLimit Name = "memory_within_limit" // the memory of a target is never overcommitted
	AnsweredInTime    Name = "answered_in_time"    // a waiting request is served or refused by its deadline
	TeamOfKey         Name = "team_of_key"         // a request runs only for the team of its key
	KeyHidden         Name = "key_hidden"          // no target sees a key
	KeyWithdrawn      Name = "key_withdrawn"       // a withdrawn key stops working within seconds
	RateWithinLimit   Name = "rate_within_limit"   // no team exceeds rate and burst over all hosts
	AnswerWhole       Name = "answer_whole"        // a caller gets the complete response to its own request
	NotRunIsTrue      Name = "not_run_is_true"     // a request refused with not_run has not run
	AtMostOnce        Name = "at_most_once"        // a non-repeatable request runs at most once
	LeavingUnused     Name = "leaving_unused"      // a leaving target gets no new work
	ShutdownGraceful  Name = "shutdown_graceful"   // a planned stop aborts no request
	InHomes           Name = "in_homes"            // a request with homes reaches only targets in them
	ConfigMonotonic   Name = "config_monotonic"    // an accepted configuration never reverts
)

// Violation describes one failed check.
type Violation struct {
	Name   Name
	Detail string
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

var (
	mu       sync.Mutex
	counts   = map[Name]int64{}
	handlers []func(Violation)
)

// Check records a violation unless ok is true. Format and args describe the
// violation and are formatted only then.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	recordViolation(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

func recordViolation(v Violation) {
	mu.Lock()
	counts[v.Name]++
	registered := append([]func(Violation){}, handlers...)
	mu.Unlock()
	logrus.WithFields(logrus.Fields{"event": "invariant_violated", "invariant": v.Name}).Error(v.Detail)
	for _, h := range registered {
		h(v)
	}
}

// OnViolation registers a handler that is called for each violation. The daemon
// counts it in a metric, tests fail.
func OnViolation(h func(Violation)) {
	mu.Lock()
	defer mu.Unlock()
	handlers = append(handlers, h)
}

// Count returns the number of violations of an invariant in this process.
func Count(name Name) int64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[name]
}

// Total returns the number of violations of all invariants in this process.
func Total() int64 {
	mu.Lock()
	defer mu.Unlock()
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}
