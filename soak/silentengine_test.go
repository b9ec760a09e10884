package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	longSilence = flag.Duration("soak.silence", 2200*time.Millisecond, "how long a sound engine is silent at a time; 0: by seed")
	firstSilent = flag.Uint64("soak.silent", 1, "first seed of the streams at silent engines")
)

// Times of the streams at a silent engine.
const (
	silencePeriod  = 5 * time.Second // from one silence to the next
	streamInterval = 25 * time.Millisecond
	streamTimeout  = 5 * time.Second // timeout_ms of the route
	minSilence     = 800 * time.Millisecond
	maxSilence     = 2400 * time.Millisecond
	goOnTime       = 4 * time.Second // within which a stream whose engine is lost has to be whole
	slowEventDelay = 100 * time.Millisecond
)

// silentModel is loaded at the first engine only.
const silentModel = "m0"

// sendSilent sends a stream for silentModel to one of the hosts, in turn.
func (s *soak) sendSilent(i int) func() outcome {
	id := fmt.Sprintf("q%d", i)
	o := outcome{attemptID: id, path: "/draft/x", host: s.hosts[i%len(s.hosts)].frontAddr}
	return func() outcome { return o.sendStream("Buckthornseam-Model: "+silentModel, id) }
}

// sendStream sends the request of an outcome and reads its response.
func (o outcome) sendStream(headers, body string) outcome {
	o.sentAt = time.Now()
	conn, err := net.DialTimeout("tcp", o.host, 300*time.Millisecond)
	if err != nil {
		o.failure, o.endedAt = err.Error(), time.Now()
		return o
	}
	defer conn.Close()
	_ = conn.SetDeadline(o.sentAt.Add(2 * streamTimeout))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nBuckthornseam-Attempt-Id: %s\r\nAuthorization: Bearer k1\r\nBuckthornseam-Deadline-Ms: %d\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		o.path, o.attemptID, streamTimeout.Milliseconds(), headers, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var response []byte
		response, err = io.ReadAll(resp.Body)
		o.status, o.body, o.complete = resp.StatusCode, string(response), err == nil
	}
	if err != nil {
		o.failure = err.Error()
	}
	o.endedAt = time.Now()
	o.timedOut = o.endedAt.Sub(o.sentAt) >= streamTimeout
	return o
}

// streamsDuring sends streams at an interval while f runs, and returns how they ended. next prepares each one.
func streamsDuring(interval time.Duration, next func(i int) (send func() outcome), f func()) []outcome {
	var running sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	done := make(chan struct{})
	go func() { f(); close(done) }()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			running.Wait()
			return outcomes
		case <-ticker.C:
		}
		send := next(i)
		running.Go(func() {
			o := send()
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
}

// stopInTurn stops hosts, one shortly after the other, and starts each again when it has ended. It returns when each got SIGTERM.
func (s *soak) stopInTurn(hosts []*process, maxGap time.Duration) map[string]time.Time {
	stopped := map[string]time.Time{}
	var running sync.WaitGroup
	for _, p := range hosts {
		stopped[p.frontAddr] = time.Now()
		s.checker.recordHostFault(p.frontAddr)
		p.signal(syscall.SIGTERM)
		running.Go(func() {
			_ = p.cmd.Wait() // any exit status is accepted
			s.checker.recordHostFault(p.frontAddr)
			p.start(s.t, s.binary)
		})
		time.Sleep(time.Duration(s.random.Int64N(int64(maxGap))))
	}
	running.Wait()
	return stopped
}

// repeatSilence has an engine fall silent again and again until stop is closed.
func (s *soak) repeatSilence(engine int, d time.Duration, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(silencePeriod - d):
		}
		s.targetProxies[engine].setMode(modeStallResponses)
		time.Sleep(d)
		s.targetProxies[engine].setMode(modeForward)
	}
}

// checkStreams checks that streams at a silent engine are whole, or refused as not run. stopped tells when each host got SIGTERM.
func (s *soak) checkStreams(outcomes []outcome, stopped map[string]time.Time) {
	whole, refused, other := 0, 0, 0
	for _, o := range outcomes {
		after := o.sentAt.Sub(stopped[o.host])
		excused := after <= earlyShare && o.endedAt.Sub(stopped[o.host]) > graceTime*5/6
		switch s.checker.mu.Lock(); {
		case o.status == http.StatusOK && o.complete:
			whole++
		case notRunStatuses[o.status], len(s.checker.runs[o.attemptID]) == 0:
			refused++
		case o.timedOut, excused:
			other++
		default:
			s.t.Errorf("%s, sent %v after the SIGTERM of its host, ended after %v with status %d and %d bytes: %s",
				o.attemptID, after.Round(time.Millisecond), o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.status, len(o.body), o.failure)
		}
		s.checker.mu.Unlock()
	}
	s.t.Logf("%d streams: %d whole, %d refused or not read, %d out of time or excused", len(outcomes), whole, refused, other)
	if whole < len(outcomes)/2 {
		s.t.Errorf("only %d of %d streams are whole", whole, len(outcomes))
	}
}

// TestStreamsAtASilentEngine guards against streams that their host ends since the only engine that can serve them is silent for a while,
// beside hosts that stop one after the other. With some seeds another engine can load the model.
func TestStreamsAtASilentEngine(t *testing.T) {
	binary := buildDaemon(t)
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprint(*firstSilent+i), func(t *testing.T) { runSilentEngine(t, binary, *firstSilent+i) })
	}
}

func runSilentEngine(t *testing.T, binary string, seed uint64) {
	s := startSoak(t, binary, seed)
	s.engines[0].EventDelay = slowEventDelay
	ready := 1 + s.random.IntN(2)
	for i := ready; i < len(s.engines); i++ {
		s.registerEngine(i, "draining")
	}
	time.Sleep(drainBound)
	silence := *longSilence
	if silence == 0 {
		silence = minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence)))
	}
	t.Logf("%d engines can serve, the first is silent for %v", ready, silence)
	stop := make(chan struct{})
	go s.repeatSilence(0, silence, stop)
	var stopped map[string]time.Time
	outcomes := streamsDuring(streamInterval, s.sendSilent, func() {
		time.Sleep(silencePeriod)
		stopped = s.stopInTurn(s.hosts, maxSeriesGap)
		time.Sleep(silencePeriod)
		close(stop)
	})
	s.checkStreams(outcomes, stopped)
}

// TestStreamsOfALostEngineGoOn is the control: an engine falls silent for good while another can load its model. Its streams go on
// there in time.
func TestStreamsOfALostEngineGoOn(t *testing.T) {
	s := startSoak(t, buildDaemon(t), 1)
	s.engines[0].EventDelay = slowEventDelay
	var lostAt time.Time
	outcomes := streamsDuring(streamInterval, s.sendSilent, func() {
		time.Sleep(2 * time.Second)
		s.targetProxies[0].setMode(modeStallResponses)
		lostAt = time.Now()
		time.Sleep(2 * time.Second)
	})
	atLost := 0
	for _, o := range outcomes {
		if o.sentAt.Before(lostAt) && o.endedAt.After(lostAt) {
			atLost++
			if !o.complete || o.endedAt.Sub(lostAt) > goOnTime {
				t.Errorf("%s ended %v after the loss of its engine with status %d, complete: %v", o.attemptID, o.endedAt.Sub(lostAt), o.status, o.complete)
			}
		}
	}
	if atLost == 0 {
		t.Error("no stream was in progress at the engine that was lost")
	}
	s.checkStreams(outcomes, nil)
}
