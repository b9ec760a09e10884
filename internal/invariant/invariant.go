// Package invariant checks at run time what must always hold. A violation is
// counted and logged; in tests it is fatal as well.
package invariant

import (
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"
)

// Name identifies an invariant. docs/INVARIANTS.md lists each with its
// mechanism, its assertion and its test.
type Name string

// The invariants, one for each line under "What must always hold" of the
// users' requirements.
const (
	ReplicasDecided   Name = "replicas_decided"    // no more replicas loaded than decided
	MemoryWithinLimit Name = "memory_within_limit" // memory of a target never overcommitted
	AnsweredInTime    Name = "answered_in_time"    // a waiting request is served or refused by its deadline
	TeamOfKey         Name = "team_of_key"         // a request runs only for the team of its key
	KeyHidden         Name = "key_hidden"          // no target sees a key
	KeyWithdrawn      Name = "key_withdrawn"       // a withdrawn key stops working within seconds
	RateWithinLimit   Name = "rate_within_limit"   // no team exceeds rate and burst over all hosts
	AnswerWhole       Name = "answer_whole"        // a caller gets the whole answer to its own request
	NotRunIsTrue      Name = "not_run_is_true"     // a refusal that says not_run is true
	AtMostOnce        Name = "at_most_once"        // a non-repeatable request runs at most once
	LeavingUnused     Name = "leaving_unused"      // a leaving target gets no new work
	ShutdownGraceful  Name = "shutdown_graceful"   // a planned stop cuts no request
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

// Check records a violation unless ok holds. Format and args describe the
// violating state and are evaluated only on failure.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	report(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

func report(v Violation) {
	mu.Lock()
	counts[v.Name]++
	hs := append([]func(Violation){}, handlers...)
	mu.Unlock()
	logrus.WithFields(logrus.Fields{"event": "invariant_violated", "invariant": v.Name}).Error(v.Detail)
	for _, h := range hs {
		h(v)
	}
}

// OnViolation registers a handler that runs for each violation: a metric in
// the daemon, a fatal failure in tests.
func OnViolation(h func(Violation)) {
	mu.Lock()
	defer mu.Unlock()
	handlers = append(handlers, h)
}

// Count returns how often name was violated in this process.
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
