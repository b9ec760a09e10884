package longprompt

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// queueModel is a fleet of engines that prefill one prompt after the other beside a batch of decoding requests. Hosts choose by
// counts of others that are 0.4 s old.
type queueModel struct {
	random   *rand.Rand
	hosts    int
	speeds   []float64 // tokens per millisecond, by engine
	copies   [][]int   // engines by model
	on       bool
	now      float64        // seconds
	freeAt   []float64      // when the prefill queue of an engine is empty
	longTo   []float64      // when the long prefill that the coordinator last granted at an engine is expected to end
	waiting  []modelRequest // for a slot, or for the end of a long prefill
	ends     []([]float64)  // of the requests at an engine
	seen     []int          // counts 0.4 s ago, by engine
	seenAt   float64
	own      map[[2]int]int // requests since then, by host and engine
	cached   map[[2]int]float64
	loads    []*Load    // by engine
	loadSeen []float64  // 0.4 s ago
	chance   *rand.Rand // of choices, apart from arrivals
	slots    int
	outcome  map[string][]bool // by size: in time
	took     map[string][]float64
}

func newQueueModel(hosts, engines, slots, models, copiesEach int, on bool, seed uint64) *queueModel {
	m := &queueModel{random: rand.New(rand.NewPCG(seed, 5)), hosts: hosts, slots: slots, on: on, freeAt: make([]float64, engines), longTo: make([]float64, engines), ends: make([][]float64, engines), seen: make([]int, engines), loadSeen: make([]float64, engines), chance: rand.New(rand.NewPCG(seed, 6)), own: map[[2]int]int{},
		cached: map[[2]int]float64{}, outcome: map[string][]bool{}, took: map[string][]float64{}}
	for i := range engines {
		m.loads = append(m.loads, &Load{})
		m.speeds = append(m.speeds, 41*[]float64{0.55, 0.8, 1, 1.2}[i%4])
	}
	for range models {
		m.copies = append(m.copies, m.random.Perm(engines)[:min(copiesEach, engines)])
	}
	return m
}

func (m *queueModel) running(e int) int {
	m.ends[e] = slices.DeleteFunc(m.ends[e], func(end float64) bool { return end <= m.now })
	return len(m.ends[e])
}

func (m *queueModel) clock() time.Duration { return time.Duration(m.now * float64(time.Second)) }

const waitMargin = 4 // of kvmemory.Ledger.Ask

// modelRequest is a request that has not been sent to an engine yet.
type modelRequest struct {
	host, model, tokens, shared int
	objective, arrived, retryAt float64
}

func (r modelRequest) kind() string {
	switch {
	case r.tokens >= 20_000:
		return "very long"
	case r.tokens >= 2_000:
		return "long"
	}
	return "short"
}

// ranked returns the engines with a free slot, the best one first, as a host sees them.
func (m *queueModel) ranked(r modelRequest, long bool) []int {
	names, byName := make([]string, 0, len(m.copies[r.model])), map[string]int{}
	for _, e := range m.copies[r.model] {
		name := fmt.Sprint("e", e)
		names, byName[name] = append(names, name), e
	}
	Order("s", fmt.Sprint(r.model), names)
	var out []int
	score := map[int]float64{}
	for place, name := range names {
		e := byName[name]
		if m.running(e) >= m.slots {
			continue
		}
		out = append(out, e)
		score[e] = float64(m.seen[e]+m.own[[2]int{r.host, e}]) + 1.5*math.Log(m.chance.ExpFloat64())
		switch {
		case m.on && long:
			score[e] += LongPenalty(place, m.loadSeen[e])
		case m.on:
			score[e] += ShortPenalty(m.loadSeen[e])
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(score[a], score[b]) })
	return out
}

// engineFor returns the engine for a request; -1: it waits.
func (m *queueModel) engineFor(r modelRequest, long bool, prefill float64) int {
	ranked := m.ranked(r, long)
	if len(ranked) == 0 {
		return -1
	}
	if !m.on || !long || len(m.copies[r.model]) < 2 {
		return ranked[0]
	}
	best := ranked[0]
	for _, e := range ranked {
		if m.longTo[e] <= m.now {
			return e
		}
		if m.longTo[e] < m.longTo[best] {
			best = e
		}
	}
	if m.longTo[best]+waitMargin*prefill <= r.arrived+r.objective {
		return -1
	}
	return best
}

// try sends a request to an engine if one can take it now.
func (m *queueModel) try(r modelRequest) bool {
	if m.now-m.seenAt >= 0.4 {
		for e := range m.seen {
			m.seen[e], m.loadSeen[e] = m.running(e), m.loads[e].Share(m.clock())
		}
		m.seenAt = m.now
		clear(m.own)
	}
	expected := time.Duration(float64(r.tokens) / 41 * float64(time.Millisecond))
	long := IsLong(expected, 450*time.Millisecond)
	e := m.engineFor(r, long, expected.Seconds())
	if e < 0 {
		return false
	}
	m.own[[2]int{r.host, e}]++
	rest := r.tokens
	if at, ok := m.cached[[2]int{e, r.model}]; ok && r.shared > 0 && m.now-at < 30 {
		rest -= r.shared
	}
	if r.shared > 0 {
		m.cached[[2]int{e, r.model}] = m.now
	}
	prefill := float64(rest) / m.speeds[e] / 1000
	if long {
		m.loads[e].Add(m.clock(), time.Duration(prefill*float64(time.Second)))
		m.longTo[e] = max(m.now, m.longTo[e]) + prefill
	}
	m.freeAt[e] = max(m.now, m.freeAt[e]) + prefill
	took := m.freeAt[e] - r.arrived + 0.02
	m.ends[e] = append(m.ends[e], m.freeAt[e]+0.4+m.chance.ExpFloat64()*1.2)
	m.outcome[r.kind()] = append(m.outcome[r.kind()], took <= r.objective)
	m.took[r.kind()] = append(m.took[r.kind()], took)
	return true
}

// send sends a request, or has it wait.
func (m *queueModel) send(host, model, tokens, shared int, objective float64) {
	r := modelRequest{host: host, model: model, tokens: tokens, shared: shared, objective: objective, arrived: m.now}
	if !m.try(r) {
		r.retryAt = m.now + 0.1
		m.waiting = append(m.waiting, r)
	}
}

// retry tries the waiting requests again. After three times their objective they fail.
func (m *queueModel) retry() {
	m.waiting = slices.DeleteFunc(m.waiting, func(r modelRequest) bool {
		if m.now < r.retryAt {
			return false
		}
		if m.now > r.arrived+3*r.objective {
			m.outcome[r.kind()] = append(m.outcome[r.kind()], false)
			m.took[r.kind()] = append(m.took[r.kind()], m.now-r.arrived)
			return true
		}
		return m.try(r)
	})
}

// play sends perSecond requests a second, of which nine are long, and a burst of twenty long ones now and then. One model gets the
// share hot of all. Copies move every few seconds if moving is set.
func (m *queueModel) play(seconds, perSecond, hot float64, moving bool) {
	next, nextLong, nextBurst, nextMove := 0.0, 0.0, 5.0, 3.0
	pick := func() int {
		if m.random.Float64() < hot {
			return 0
		}
		return m.random.IntN(len(m.copies))
	}
	sendLong := func(model int) {
		tokens := min(57_000, 6_300+600+int(m.random.ExpFloat64()*2_290))
		if m.random.IntN(25) == 0 {
			tokens = 20_000 + m.random.IntN(37_000)
		}
		m.send(m.random.IntN(m.hosts), model, tokens, 6_300, 0.6+1.4*m.random.Float64())
	}
	for m.now < seconds {
		m.now = min(next, nextLong)
		m.retry()
		if m.now >= nextBurst {
			model := pick()
			for range 20 {
				sendLong(model)
			}
			nextBurst += 10
		}
		if moving && m.now >= nextMove {
			model := m.random.IntN(len(m.copies))
			m.copies[model] = m.random.Perm(len(m.speeds))[:len(m.copies[model])]
			nextMove += 0.3
		}
		if m.now == next {
			m.send(m.random.IntN(m.hosts), pick(), 300+m.random.IntN(700), 0, 0.4+0.1*m.random.Float64())
			next += m.random.ExpFloat64() / perSecond
			continue
		}
		sendLong(pick())
		nextLong += m.random.ExpFloat64() / 9
	}
}

func (m *queueModel) share(kind string) float64 {
	n := 0
	for _, ok := range m.outcome[kind] {
		if ok {
			n++
		}
	}
	return float64(n) / float64(max(1, len(m.outcome[kind])))
}

func (m *queueModel) p99(kind string) float64 {
	took := slices.Sorted(slices.Values(m.took[kind]))
	if len(took) == 0 {
		return 0
	}
	return took[len(took)*99/100]
}

// TestLongPromptsDoNotDelayShortOnes compares the requests that begin in time with the part off and on. It guards against long prefills in
// front of short requests, and against long prompts that are starved in favour of these, also where copies move every few seconds, for a
// hot model, with engines of four speeds, and with two copies. With one copy nothing may differ.
func TestLongPromptsDoNotDelayShortOnes(t *testing.T) {
	for _, c := range []struct {
		name                  string
		hosts, engines, slots int
		perSecond             float64
		models, copies        int
		hot                   float64
		moving                bool
	}{
		{"70 hosts, 90 engines", 70, 90, 12, 400, 30, 4, 0, false},
		{"64 hosts, 60 engines", 64, 60, 24, 440, 30, 4, 0, false},
		{"80 hosts, 56 engines", 80, 56, 16, 350, 30, 4, 0, false},
		{"8 hosts, 12 engines", 8, 12, 16, 60, 6, 3, 0, false},
		{"two copies", 64, 60, 24, 440, 30, 2, 0, false},
		{"one copy", 64, 60, 24, 200, 60, 1, 0, false},
		{"copies move", 64, 60, 24, 440, 30, 4, 0, true},
		{"hot model", 64, 60, 24, 300, 30, 12, 0.4, false},
	} {
		var late, lateLong, lateVeryLong [2]float64
		for i, on := range []bool{false, true} {
			for seed := range uint64(2) {
				m := newQueueModel(c.hosts, c.engines, c.slots, c.models, c.copies, on, seed+1)
				m.play(100, c.perSecond, c.hot, c.moving)
				late[i] += (1 - m.share("short")) / 2
				lateLong[i] += (1 - m.share("long")) / 2
				lateVeryLong[i] += (1 - m.share("very long")) / 2
				t.Logf("%s, on %v, seed %d: p99 of short %.0f ms, of long %.0f ms", c.name, on, seed, 1000*m.p99("short"), 1000*m.p99("long"))
			}
		}
		t.Logf("%s: late off and on: short %.4f %.4f, long %.3f %.3f, 20,000 tokens and more %.2f %.2f", c.name, late[0], late[1], lateLong[0], lateLong[1], lateVeryLong[0], lateVeryLong[1])
		if c.copies == 1 && (late[0] != late[1] || lateLong[0] != lateLong[1]) {
			t.Errorf("%s: the part changes what happens", c.name)
		}
		if late[1] > late[0] {
			t.Errorf("%s: %.4f of the short requests are late with the part, %.4f without", c.name, late[1], late[0])
		}
		if lateLong[1] > lateLong[0]+0.01 || 1-lateLong[1] < (1-late[1])/2 {
			t.Errorf("%s: %.3f of the long requests are late with the part, %.3f without", c.name, lateLong[1], lateLong[0])
		}
	}
}

// TestWithoutLongPromptsNothingChanges guards against penalties where no long prompts come.
func TestWithoutLongPromptsNothingChanges(t *testing.T) {
	var none *Load
	if p := ShortPenalty(none.Share(time.Hour)); p != 0 {
		t.Errorf("penalty %v without long prompts", p)
	}
	l := NewLoad(time.Hour, 1)
	if p := ShortPenalty(l.Share(time.Hour + time.Minute)); p > 0.01 {
		t.Errorf("penalty %v a minute after the last long prompt", p)
	}
	if IsLong(time.Hour, 0) || IsLong(20*time.Millisecond, 450*time.Millisecond) || !IsLong(224*time.Millisecond, 450*time.Millisecond) {
		t.Error("prompts of 650 and 9,190 tokens are not told apart, or some are long without an objective")
	}
}

// TestOrderChangesLittle guards against copies that come and go moving the long prompts of models between all engines.
func TestOrderChangesLittle(t *testing.T) {
	before := []string{"a", "b", "c", "d", "e"}
	Order("s", "m", before)
	after := slices.DeleteFunc(slices.Clone(before), func(id string) bool { return id == before[3] })
	slices.Reverse(after)
	if Order("s", "m", after); after[0] != before[0] || after[1] != before[1] || after[3] != before[4] {
		t.Errorf("order %v, then %v", before, after)
	}
}

// TestSpeedIsLearned covers engines of four speeds, whose first events come late now and then because others are before them.
func TestSpeedIsLearned(t *testing.T) {
	s, random := NewSpeeds(), rand.New(rand.NewPCG(1, 1))
	for range 200 {
		for i, speed := range []float64{0.55, 0.8, 1, 1.2} {
			tokens := 2000 + random.IntN(8000)
			took := float64(tokens)/(41*speed) + 20
			if random.IntN(3) == 0 {
				took += 300 * random.Float64()
			}
			s.Learn(fmt.Sprint(i), "s", tokens, time.Duration(took*float64(time.Millisecond)))
		}
	}
	for i, speed := range []float64{0.55, 0.8, 1, 1.2} {
		want := 9190 / (41 * speed)
		if got := s.Prefill(fmt.Sprint(i), "s", 9190).Seconds() * 1000; got < 0.9*want || got > 1.3*want {
			t.Errorf("engine of speed %v: %.0f ms for 9190 tokens, want %.0f", speed, got, want)
		}
	}
	s.Prefilled(time.Hour, "0", "p")
	if n := s.Tokens(time.Hour+time.Second, "0", 9190, 6300, "p"); n != 2890 {
		t.Errorf("%d tokens to prefill beside a cached part, want 2890", n)
	}
	if n := s.Tokens(time.Hour+time.Minute, "0", 9190, 6300, "p"); n != 9190 {
		t.Errorf("%d tokens to prefill after a minute, want all", n)
	}
}
