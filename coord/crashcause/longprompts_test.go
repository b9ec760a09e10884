package crashcause

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// traffic is a model of a fleet whose targets one part of prompts crashes, with one tracker that knows all at once.
type traffic struct {
	documents, pool int     // of a prompt, and all there are
	shuffled        bool    // the parts come in another order in each prompt
	soundPerSecond  float64 // requests
	causes          []cause
	targets         int
	idLength        int           // of parts, in bytes
	ownCrashes      time.Duration // between two targets that end for another reason; 0: never
}

// cause is a part that crashes targets.
type cause struct {
	part      string
	place     int // in the prompt, among the documents
	perSecond float64
}

// Times of the model.
const (
	modelStep      = 10 * time.Millisecond
	modelCalm      = 5 * time.Second
	modelTime      = 30 * time.Second
	modelRun       = time.Second // of a request
	modelCrashTime = 100 * time.Millisecond
	modelRestart   = 2 * time.Second
	modelContact   = 3 * time.Second
	modelPatience  = 4 * time.Second // of callers whose request is held
)

type modelRequest struct {
	parts           []string
	cause           string
	sent, ends      time.Duration
	arrived, waitTo time.Duration
}

type modelTarget struct {
	starts  int
	backAt  time.Duration
	running []*modelRequest
}

// outcome is what a model has shown.
type outcome struct {
	crashes        []time.Duration
	late           map[string]int // requests with a cause that reached targets later than the contact time after its fifth crash
	sound, served  int            // requests that arrived from twice the contact time after the fifth crash on
	crashesToBlock map[string]int // by cause
	blockedSound   []string
	crashesOf      map[string][]time.Duration
}

func (m traffic) id(name string) string {
	for len(name) < m.idLength {
		name += "0"
	}
	return name
}

func (m traffic) prompt(r *rand.Rand, c *cause) []string {
	parts := []string{m.id("head")}
	for _, d := range r.Perm(m.pool)[:m.documents] {
		parts = append(parts, m.id(fmt.Sprint("d", d, "-")))
	}
	if c != nil {
		at := 1 + min(c.place, m.documents)
		parts = slices.Insert(parts, at, m.id(c.part))
	}
	if m.shuffled {
		r.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	}
	return parts
}

// play runs the model with a seed.
func (m traffic) play(seed uint64) outcome {
	r, tr := rand.New(rand.NewPCG(seed, 1)), New()
	out := outcome{late: map[string]int{}, crashesToBlock: map[string]int{}, crashesOf: map[string][]time.Duration{}}
	targets := make([]*modelTarget, m.targets)
	for i := range targets {
		targets[i] = &modelTarget{}
	}
	var waiting []*modelRequest
	bad := map[string]bool{}
	for _, c := range m.causes {
		bad[m.id(c.part)] = true
	}
	crash := func(now time.Duration, i int) {
		t := targets[i]
		for _, q := range t.running {
			tr.RecordFailure(now, fmt.Sprintf("%p", q), q.parts, fmt.Sprint(i, "@", t.starts), q.sent)
			if q.cause == "" && now-q.arrived < modelPatience {
				waiting = append(waiting, q) // repeated elsewhere
			}
		}
		t.starts++
		t.running, t.backAt = nil, now+modelRestart
	}
	countsFrom := func() time.Duration {
		if len(out.crashes) < 5 {
			return start + modelCalm + modelTime/2
		}
		return out.crashes[4] + 2*modelContact
	}
	for now := start; now < start+modelCalm+modelTime; now += modelStep {
		if r.Float64() < m.soundPerSecond*modelStep.Seconds() {
			waiting = append(waiting, &modelRequest{parts: m.prompt(r, nil), arrived: now})
		}
		for i := range m.causes {
			c := &m.causes[i]
			if now >= start+modelCalm && r.Float64() < c.perSecond*modelStep.Seconds() {
				waiting = append(waiting, &modelRequest{parts: m.prompt(r, c), cause: m.id(c.part), arrived: now})
			}
		}
		var still []*modelRequest
		for _, q := range waiting {
			if tr.Check(now, q.parts, never) != "" || now-q.arrived > modelPatience {
				m.ended(&out, q, false, countsFrom)
				continue
			}
			if end := tr.HoldUntil(now, q.parts); end > 0 && q.waitTo < end {
				q.waitTo = end + time.Duration(r.Int64N(int64(time.Second)))
			}
			i := r.IntN(m.targets)
			if now < q.waitTo || now < targets[i].backAt {
				still = append(still, q)
				continue
			}
			q.sent, q.ends = now, now+modelRun
			if q.cause != "" {
				q.ends = now + modelCrashTime
				if of := out.crashesOf[q.cause]; len(of) >= 5 && now > of[4]+modelContact {
					out.late[q.cause]++
				}
			}
			targets[i].running = append(targets[i].running, q)
		}
		waiting = still
		for i, t := range targets {
			for _, q := range slices.Clone(t.running) {
				if now < q.ends {
					continue
				}
				if q.cause != "" {
					out.crashes = append(out.crashes, now)
					out.crashesOf[q.cause] = append(out.crashesOf[q.cause], now)
					crash(now, i)
					break
				}
				tr.RecordCompletion(now, q.parts, fmt.Sprint(i, "@", t.starts), q.sent)
				t.running = slices.DeleteFunc(t.running, func(other *modelRequest) bool { return other == q })
				m.ended(&out, q, true, countsFrom)
			}
		}
		if m.ownCrashes > 0 && now >= start+modelCalm && (now-start)%m.ownCrashes == 0 {
			crash(now, r.IntN(m.targets))
		}
		if now%(100*time.Millisecond) == 0 {
			tr.Evaluate(now)
			for _, c := range tr.TakeChanges() {
				switch {
				case !c.Blocked:
				case bad[c.Part]:
					if _, known := out.crashesToBlock[c.Part]; !known {
						out.crashesToBlock[c.Part] = len(out.crashesOf[c.Part])
					}
				default:
					out.blockedSound = append(out.blockedSound, c.Part)
				}
			}
		}
	}
	return out
}

func (m traffic) ended(out *outcome, q *modelRequest, ok bool, countsFrom func() time.Duration) {
	if q.cause != "" {
		return
	}
	n := 0
	if ok {
		n = 1
	}
	if q.arrived >= countsFrom() {
		out.sound++
		out.served += n
	}
}

// checkCauses plays a model with some seeds and fails the test if a cause is found out too late or sound requests are refused instead.
func checkCauses(t *testing.T, m traffic, seeds uint64) {
	t.Helper()
	for seed := range seeds {
		o := m.play(seed)
		for _, c := range m.causes {
			if n := o.late[m.id(c.part)]; n > 3 {
				t.Errorf("seed %d: %d requests with %s reached targets after the bound, 3 are allowed", seed, n, c.part)
			}
		}
		if 10*o.served < 9*o.sound || o.sound < 20 {
			t.Errorf("seed %d: %d of %d sound requests served, want nine of ten", seed, o.served, o.sound)
		}
		if n := len(o.blockedSound); n > 0 {
			t.Errorf("seed %d: %d sound parts blocked: %s", seed, n, o.blockedSound[0])
		}
		t.Logf("seed %d: crashes until the block %v", seed, o.crashesToBlock)
	}
}

// TestCauseInLongPromptsIsFound guards against a cause that is dropped among many parts, or hidden by its place in the prompt, by the
// order of the parts or by a second cause, and against sound parts that are blocked in its place.
func TestCauseInLongPromptsIsFound(t *testing.T) {
	bad := []cause{{"bad", 1000, 2}}
	for name, c := range map[string]struct {
		m     traffic
		seeds uint64
	}{
		"prompts of few parts":  {traffic{documents: 1, pool: 400, soundPerSecond: 20, targets: 9, causes: bad}, 20},
		"last of 20":            {traffic{documents: 18, pool: 60, soundPerSecond: 20, targets: 9, causes: bad}, 5},
		"third of 20":           {traffic{documents: 18, pool: 60, soundPerSecond: 20, targets: 9, causes: []cause{{"bad", 1, 2}}}, 5},
		"other order each time": {traffic{documents: 18, pool: 60, soundPerSecond: 20, targets: 9, causes: bad, shuffled: true}, 5},
		"two causes":            {traffic{documents: 18, pool: 60, soundPerSecond: 20, targets: 9, causes: []cause{{"bad", 1000, 2}, {"worse", 1000, 2}}}, 5},
		"few sound requests":    {traffic{documents: 18, pool: 60, soundPerSecond: 3, targets: 9, causes: []cause{{"bad", 3, 2}}}, 5},
		"last of 100":           {traffic{documents: 100, pool: 400, soundPerSecond: 20, targets: 9, causes: bad}, 2},
		"250 parts, none alike": {traffic{documents: 250, pool: 100_000, soundPerSecond: 60, targets: 9, causes: bad}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkCauses(t, c.m, c.seeds)
		})
	}
}

// TestTargetsThatFallByThemselvesBlockNoPart is the control: targets end every half second, and no part is the cause.
func TestTargetsThatFallByThemselvesBlockNoPart(t *testing.T) {
	for _, m := range []traffic{
		{documents: 1, pool: 400, soundPerSecond: 20, targets: 9},
		{documents: 18, pool: 60, soundPerSecond: 20, targets: 9},
		{documents: 100, pool: 400, soundPerSecond: 20, targets: 9},
	} {
		m.ownCrashes = 500 * time.Millisecond
		checkCauses(t, m, 3)
	}
}

// TestIncompleteEvidenceBlocksNothing guards against blaming a sound part for a cause that there was no room for. The control has room.
func TestIncompleteEvidenceBlocksNothing(t *testing.T) {
	for _, parts := range []int{100, maxPerTarget} {
		s, n := newScript(), 0
		for range 6 {
			request := []string{"sound"}
			for range parts {
				n++
				request = append(request, fmt.Sprint("own", n))
			}
			s.fail(append(request, "cause"))
		}
		receiver := New()
		cursor := Cursor{}
		for range 2 + s.t.count/maxFailureRecords {
			receiver.MergeUpdate(s.now, s.t.Changes(s.now, &cursor, ToHost))
		}
		s.evaluate()
		receiver.Evaluate(s.now)
		for i, tr := range []*Tracker{s.t, receiver} {
			sound, bad := tr.Check(s.now, []string{"sound"}, never) != "", tr.Check(s.now, []string{"cause"}, never) != ""
			if fits := parts < maxPerTarget; sound || bad != fits {
				t.Errorf("tracker %d, %d parts: sound blocked %v, cause blocked %v", i, parts, sound, bad)
			}
		}
	}
}

// TestMemoryOfFullHeadsIsBounded guards against callers who fill the memory of hosts with prompts of as many parts as a head may hold.
func TestMemoryOfFullHeadsIsBounded(t *testing.T) {
	const partsOfHead, most = 64 << 10 / 7, 16 << 20 // half of what a host has for control
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, s := heap(), newScript()
	for i := range 60 {
		var head strings.Builder
		for j := range partsOfHead {
			fmt.Fprintf(&head, "%06x,", i*partsOfHead+j)
		}
		parts := strings.Split(head.String(), ",")
		s.fail(parts)
		s.complete(1, parts...)
	}
	after := heap()
	t.Logf("%d bytes for %d failures and %d completions", after-before, s.t.count, len(s.t.own))
	if after > before+most {
		t.Errorf("%d bytes, want %d at most", after-before, most)
	}
	runtime.KeepAlive(s)
}
