package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

var (
	firstSizes = flag.Uint64("soak.sizes", 1, "first seed of the streams of any size; the variant is the seed modulo 6")
	sizesGrace = flag.Duration("soak.grace", 8*time.Second, "grace period of the streams of any size")
)

// Sizes of streams.
const (
	draftMaximum, wholeEvents    = 275, 55 // events have five tokens
	shortMaximum, shortEvents    = 25, 5
	longEvents                   = 10
	minLongPrompt, maxLongPrompt = 30_000, 45_000 // tokens
)

// Times of the streams of any size.
const (
	sizesInterval  = 10 * time.Millisecond
	timeBeforeStop = 5 * time.Second
	shortGrace     = 3 * time.Second
	lateTime       = 3 * time.Second // before the end of the grace period, long and whole streams begin to come
	// The control of short streams ends before the end of the grace period by 0.5 s, when nothing runs any more, 1.5 s for a silence of the
	// target, and a time for the run: shortRun, or twice what short streams have taken.
	lateWindowEnd, shortRun, minLateWindow = 2 * time.Second, 600 * time.Millisecond, 400 * time.Millisecond
	stopEnd                                = 550 * time.Millisecond // before the end of the grace period, when streams are ended
	minControlShare                        = 0.9                    // of the streams of a control are served
)

// streamSize is the size of a stream.
type streamSize struct{ prompt, maximum, events int }

func (z streamSize) short() bool { return z.maximum == shortMaximum && !z.large() }
func (z streamSize) large() bool { return z.prompt >= minLongPrompt || z.events == wholeEvents }

// sizeVariant is one order in which streams of any size come.
type sizeVariant struct {
	name          string
	longBefore    bool // long prompts come before the late part of a stop
	longLate      bool // and in it
	wholeBefore   bool // one of 30 responses uses its maximum before the late part of a stop
	wholeLate     bool // most do in it
	longInShort   bool // long prompts have the route and the maximum of short streams
	withinASecond bool // all hosts stop so; else one host, or all with up to maxSeriesGap between two
	grace         time.Duration
}

var sizeVariants = []sizeVariant{
	{name: "all hosts stop within a second, large streams before too", longBefore: true, longLate: true, wholeBefore: true, wholeLate: true, withinASecond: true},
	{name: "long prompts late, after short ones", longLate: true},
	{name: "long prompts before, short streams late", longBefore: true, wholeBefore: true, longInShort: true},
	{name: "whole maximum late, after streams that ended early", wholeLate: true},
	{name: "short grace period", longBefore: true, longLate: true, wholeBefore: true, wholeLate: true, grace: shortGrace},
	{name: "all hosts stop within a second, large streams late", longLate: true, wholeLate: true, withinASecond: true},
}

// sizedStreams sends streams of any size to all hosts, half of them to those that stop.
type sizedStreams struct {
	*soak
	sizeVariant
	sizes    *rand.Rand
	stopping []*process
}

// sinceStop returns when a host got SIGTERM and when its process ended, if they have.
func (c *checker) sinceStop(host string) (stopped, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times [2]time.Time
	copy(times[:], c.hostFaults[host])
	return times[0], times[1]
}

// size chooses the size of the next stream to a host, and its route.
func (s *sizedStreams) size(host string) (path string, size streamSize) {
	stopped, ended := s.checker.sinceStop(host)
	after := time.Since(stopped)
	stopping := !stopped.IsZero() && ended.IsZero()
	late := stopping && after > s.grace-lateTime
	long, whole, n := s.longBefore, s.wholeBefore, s.sizes.IntN(30)
	if late {
		long, whole = s.longLate, s.wholeLate
	}
	size = streamSize{500 + s.sizes.IntN(200), draftMaximum, 4 + s.sizes.IntN(5)}
	switch {
	case n < 15:
		size.maximum, size.events = shortMaximum, shortEvents
		return "/short/x", size
	case long && (n == 15 || late && (n < 22 || !whole)):
		size.prompt, size.events = minLongPrompt+s.sizes.IntN(maxLongPrompt-minLongPrompt), longEvents
		if s.longInShort {
			size.maximum, size.events = shortMaximum, shortEvents
			return "/short/x", size
		}
	case whole && (n == 29 || late || stopping && after < time.Second && n > 25): // more would need more slots than the engines have
		size.events = wholeEvents
	}
	return "/draft/x", size
}

func (s *sizedStreams) next(i int) func() outcome {
	hosts := s.hosts
	if i%2 == 0 {
		hosts = s.stopping
	}
	o := outcome{attemptID: fmt.Sprintf("z%d", i), host: hosts[i/2%len(hosts)].frontAddr}
	o.path, o.size = s.size(o.host)
	model := models[s.sizes.IntN(2)]
	headers := fmt.Sprintf("Buckthornseam-Model: %s\r\nBuckthornseam-Token-Count: %d,%d", model, o.size.prompt, o.size.maximum)
	return func() outcome { return o.sendStream(headers, fmt.Sprintf("%s events=%d", o.attemptID, o.size.events)) }
}

// control holds how the streams ended that have to be served, by attempt ID.
type control map[string]string

func (c control) check(t *testing.T, what string) {
	all := len(c)
	maps.DeleteFunc(c, func(_, end string) bool { return end == "whole" })
	t.Logf("%s: %d of %d served", what, all-len(c), all)
	if float64(all-len(c)) < minControlShare*float64(all) {
		t.Errorf("%s: too few served: %v", what, c)
	}
}

// check checks that streams are whole, or refused as not run, and that those are served that surely end in time.
func (s *sizedStreams) check(outcomes []outcome) {
	counts := map[string]int{}
	lateShort, earlyLarge, run := control{}, control{}, map[string]time.Duration{}
	for _, o := range outcomes {
		if stopped, _ := s.checker.sinceStop(o.host); o.size.short() && o.sentAt.Sub(stopped) < s.grace-lateTime {
			run[o.host] = max(run[o.host], shortRun, 2*o.endedAt.Sub(o.sentAt))
		}
	}
	for _, o := range outcomes {
		stopped, ended := s.checker.sinceStop(o.host)
		after := o.sentAt.Sub(stopped)
		end := s.endOf(o, after, o.endedAt.Sub(stopped))
		counts[end]++
		if end == "lost" {
			s.t.Errorf("%s (%s, %+v), sent %v after the SIGTERM of its host, ended after %v with status %d and %d events: %s", o.attemptID, o.path, o.size,
				after.Round(time.Millisecond), o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.status, strings.Count(o.body, "\n\n"), o.failure)
		}
		if stopped.IsZero() || o.status == 0 || !o.sentAt.Before(ended) {
			continue
		}
		until := s.grace - lateWindowEnd - run[o.host]
		switch {
		case o.size.short() && after > min(earlyShare, until-minLateWindow) && after < until:
			lateShort[o.attemptID] = end
		case o.size.large() && after > 0 && after+streamTimeout < s.grace-stopEnd:
			earlyLarge[o.attemptID] = end
		}
	}
	s.t.Logf("%d streams: %v", len(outcomes), counts)
	lateShort.check(s.t, "short streams late in a stop")
	earlyLarge.check(s.t, "large streams whose deadline is before the end of the stop")
}

// endOf returns how a stream ended.
func (s *sizedStreams) endOf(o outcome, sent, ended time.Duration) string {
	s.checker.mu.Lock()
	ran := len(s.checker.runs[o.attemptID]) > 0
	s.checker.mu.Unlock()
	switch {
	case o.status == http.StatusOK && o.complete && o.body == standin.PacedResponse(o.attemptID, o.size.events):
		return "whole"
	case notRunStatuses[o.status] && !ran:
		return "refused"
	case !ran:
		return "not read"
	case o.timedOut:
		return "out of time"
	case sent <= earlyShare && ended > s.grace*5/6:
		return "excused"
	}
	return "lost"
}

// TestStreamsOfAnySizeInAStop guards against streams that a stopping host accepts and cuts off at its end, since their prompts are longer
// than those of recent ones or they use more of their maximum; and against one that refuses what surely ends in time.
func TestStreamsOfAnySizeInAStop(t *testing.T) {
	binary := buildDaemon(t)
	for i := range uint64(max(2, *seedCount)) { // the first two variants fail in different ways
		t.Run(fmt.Sprint(*firstSizes+i), func(t *testing.T) { runStreamSizes(t, binary, *firstSizes+i) })
	}
}

func runStreamSizes(t *testing.T, binary string, seed uint64) {
	variant := sizeVariants[seed%uint64(len(sizeVariants))]
	if variant.grace == 0 {
		variant.grace = *sizesGrace
	}
	s := &sizedStreams{soak: newSoak(t, binary, seed, max(4, *hostCount), variant.grace), sizeVariant: variant, sizes: rand.New(rand.NewPCG(seed, 2))}
	for i, e := range s.engines {
		x := []float64{1.3, 1, 1}[i] // the pace is that of the users' model engines, with a busy batch; they differ in speed
		e.Pace = &standin.Pace{PromptTokens: 38.1 / x, PairsTime: time.Duration(x * 737_000), Event: time.Duration(x * float64(32*time.Millisecond))}
		e.Models = models[:2]
		s.registerEngine(i, "ready")
	}
	s.start()
	gap := maxSeriesGap
	s.stopping = s.hosts
	if s.withinASecond {
		gap = time.Second / time.Duration(len(s.hosts))
	} else if s.random.IntN(3) == 0 {
		s.stopping = s.hosts[:1]
	}
	t.Logf("%s, %d of %d hosts stop, grace period %v", s.name, len(s.stopping), len(s.hosts), s.grace)
	s.check(streamsDuring(sizesInterval, s.next, func() {
		time.Sleep(timeBeforeStop)
		s.stopInTurn(s.stopping, gap)
		time.Sleep(time.Second)
	}))
	s.checkCrashes()
}
