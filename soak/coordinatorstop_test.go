package soak

import (
	"context"
	"os"
	"regexp"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var coordinatorLine = regexp.MustCompile(`"event":"coordinator_changed".*"to":"(host-[0-9]+)"`)

// coordinator returns the host that the first host reports to, according to its log.
func (s *soak) coordinator() *process {
	data, err := os.ReadFile(s.hosts[0].settingsFile + ".log")
	if err != nil {
		s.t.Fatal(err)
	}
	if found := coordinatorLine.FindAllSubmatch(data, -1); len(found) > 0 {
		for _, p := range s.hosts {
			if p.name == string(found[len(found)-1][1]) {
				return p
			}
		}
	}
	s.t.Fatal("no host is named as coordinator")
	return nil
}

// TestCoordinatorStopsAtFirstRequests guards against a quota that is exceeded if the coordinator stops as planned while the team sends
// its first requests: each host has a whole burst, and for over a second the parts of two coordinators sum to more than 1.
func TestCoordinatorStopsAtFirstRequests(t *testing.T) {
	s := startSoak(t, buildDaemon(t), *firstSeed)
	p := s.coordinator()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := s.startCallers(ctx, *firstSeed, &atomic.Int32{})
	time.Sleep(50 * time.Millisecond) // until all hosts have had requests of the team
	p.signal(syscall.SIGTERM)
	_ = p.cmd.Wait() // any exit status is accepted
	p.start(t, s.binary)
	if !waitFor(recoverBound, p.isReady) {
		t.Error("the host did not become ready again")
	}
	time.Sleep(quotaWindow)
	cancel()
	callers.Wait()
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.checkQuota()
	t.Logf("%s got %.2f of what its quota allows", limitedTeam, s.checker.mostLimited)
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
}
