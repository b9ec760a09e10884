package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// firstSeries has a default with which the daemon of 31f361e loses requests; with most seeds its hosts end before targets fall silent.
var firstSeries = flag.Uint64("soak.series", 42, "first seed of the stops in series")

// Times of the stops in series.
const (
	graceTime      = 6 * time.Second         // grace_s of the settings by default
	addressTime    = 6 * time.Second         // for which callers keep the address of a host
	stickyCallers  = 6                       // at each host that stops
	maxSeriesGap   = 2500 * time.Millisecond // between two stops
	targetSilence  = 1200 * time.Millisecond // of sound targets
	earliestSilent = 4400 * time.Millisecond // after SIGTERM
	silentSpread   = 600 * time.Millisecond
	seriesRounds   = 2               // each host stops once in a round
	earlyShare     = 3 * time.Second // after SIGTERM: a request sent by then may be cut off if it still runs in the last sixth of the grace period
)

// runSticky sends requests to one host, whatever the directory says, until ctx ends. The connection is kept for as long as the host keeps it.
func (c *caller) runSticky(ctx context.Context, address string) {
	for i := 0; ctx.Err() == nil; i++ {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
			if err != nil {
				time.Sleep(20 * time.Millisecond) // no process runs
				continue
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		c.checker.recordOutcome(c.send(fmt.Sprintf("s%d-%d", c.id, i)))
		c.sentOnConn++
		time.Sleep(time.Duration(c.random.IntN(15)) * time.Millisecond)
	}
	c.closeConn()
}

// silenceTargets has all targets fall silent for a moment.
func (s *soak) silenceTargets() {
	for _, p := range s.targetProxies {
		p.setMode(modeStallResponses)
	}
	time.Sleep(targetSilence)
	for _, p := range s.targetProxies {
		p.setMode(modeForward)
	}
}

// stopInSeries stops all hosts, one shortly after the other, and starts each again when it has ended. It returns when each got SIGTERM. Some stop while
// the store does not reply to them.
func (s *soak) stopInSeries(n *atomic.Int32, phase *atomic.Int32) map[string]time.Time {
	var running sync.WaitGroup
	stopped := map[string]time.Time{}
	silent := s.random.IntN(len(s.hosts)) // targets fall silent late in the grace period of this host
	for i, p := range s.hosts {
		at := time.Now()
		stopped[p.frontAddr] = at
		ctx, cancel := context.WithTimeout(context.Background(), addressTime)
		defer cancel()
		for range stickyCallers {
			id := 100 + int(n.Add(1))
			c := &caller{id: id, random: rand.New(rand.NewPCG(s.random.Uint64(), uint64(id))), fleet: s.fleet, checker: s.checker, phase: phase}
			running.Go(func() { c.runSticky(ctx, p.frontAddr) })
		}
		if i == silent {
			time.AfterFunc(earliestSilent+time.Duration(s.random.Int64N(int64(silentSpread))), s.silenceTargets)
		}
		storeAway := i == silent || s.random.IntN(2) == 0
		if storeAway {
			s.storeProxies[i].setMode(modeStall)
		}
		p.signal(syscall.SIGTERM)
		running.Go(func() {
			_ = p.cmd.Wait() // any exit status is accepted
			s.t.Logf("%s ended %v after SIGTERM, store away: %v", p.name, time.Since(at).Round(10*time.Millisecond), storeAway)
			s.storeProxies[i].setMode(modeForward)
			p.start(s.t, s.binary)
		})
		time.Sleep(time.Duration(s.random.Int64N(int64(maxSeriesGap))))
	}
	running.Wait()
	return stopped
}

// checkLost checks that no host that stops ends the connection of a request that ran without a complete response.
func (s *soak) checkLost(stopped map[string]time.Time) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	unanswered, failed := 0, 0
	for _, o := range s.checker.outcomes {
		after := o.sentAt.Sub(stopped[o.host])
		if after < 0 || after > graceTime+time.Second || o.timedOut {
			continue
		}
		if o.complete && o.status == 502 {
			failed++
		}
		if o.complete || len(s.checker.runs[o.attemptID]) == 0 || after <= earlyShare && o.endedAt.Sub(stopped[o.host]) > graceTime*5/6 {
			continue
		}
		unanswered++
		s.t.Errorf("lost: %s (%s), sent %v after SIGTERM, ran and ended %v after it with status %d and %d bytes; %s",
			o.attemptID, o.path, after.Round(time.Millisecond), o.endedAt.Sub(stopped[o.host]).Round(time.Millisecond), o.status, len(o.body), o.failure)
	}
	s.t.Logf("%d requests, %d lost, %d with status 502", len(s.checker.outcomes), unanswered, failed)
}

// TestStopsInSeries guards against accepted requests that planned stops lose: hosts stop shortly after each other, some beside a store that is away, while
// callers keep their connections and addresses and sound targets fall silent for a second.
func TestStopsInSeries(t *testing.T) {
	binary := buildDaemon(t)
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprint(*firstSeries+i), func(t *testing.T) {
			s := startSoak(t, binary, *firstSeries+i)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var phase, sticky atomic.Int32
			phase.Store(int32(phaseFaults)) // no long responses, which would outlast the stops
			callers := s.startCallersOf(ctx, *firstSeries+i, &phase, callerCount, 0)
			time.Sleep(time.Second)
			for range seriesRounds {
				s.checkLost(s.stopInSeries(&sticky, &phase))
				if !waitFor(recoverBound, s.allReady) {
					t.Error("not all hosts became ready again")
				}
			}
			cancel()
			callers.Wait()
			s.checkCrashes()
		})
	}
}
