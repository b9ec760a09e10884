package fair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel is the reference model of a Queue. It tracks the requests that
// were pushed and those that the queue dispatched or refused.
type queueModel struct {
	q             *Queue
	now           time.Duration
	lastID        uint64
	waiting       map[uint64]Request
	running       []Request
	waitingByTeam map[string]int
}

const (
	modelTeamLimit = 20
	modelPoolLimit = 50
)

func (m *queueModel) dispatchAndCheck(t *rapid.T) {
	for {
		req, ok := m.q.Next(m.now)
		if !ok {
			break
		}
		if _, waits := m.waiting[req.ID]; !waits {
			t.Fatalf("request %d dispatched without waiting", req.ID)
		}
		if m.now >= req.Deadline {
			t.Fatalf("request %d dispatched %v after its deadline", req.ID, m.now-req.Deadline)
		}
		m.forget(req)
		m.running = append(m.running, req)
	}
	for _, r := range m.q.TakeRefusals(m.now) {
		if _, waits := m.waiting[r.Request.ID]; !waits {
			t.Fatalf("request %d refused without waiting", r.Request.ID)
		}
		m.forget(r.Request)
	}
	m.check(t)
}

func (m *queueModel) forget(req Request) {
	delete(m.waiting, req.ID)
	m.waitingByTeam[req.Team]--
}

// check compares the queue's counts with the model's. It also checks that the
// queue is work-conserving: no request waits that may run.
func (m *queueModel) check(t *rapid.T) {
	if m.q.Waiting() != len(m.waiting) || m.q.Running() != len(m.running) {
		t.Fatalf("queue has %d waiting and %d running, model %d and %d", m.q.Waiting(), m.q.Running(), len(m.waiting), len(m.running))
	}
	if len(m.waiting) > modelPoolLimit {
		t.Fatalf("%d requests waiting, more than the pool limit", len(m.waiting))
	}
	byTeam, byModel, byFlow := map[string]int{}, map[string]int{}, map[flowKey]int{}
	for _, req := range m.running {
		byTeam[req.Team]++
		byModel[req.Model]++
		byFlow[flowKey{req.Team, req.Model}]++
	}
	for _, req := range m.waiting {
		if req.Deadline <= m.now {
			t.Fatalf("request %d waits past its deadline", req.ID)
		}
		blocked := false
		if m.q.Granted(m.now) {
			f := m.q.teams[req.Team].flows[req.Model]
			blocked = f.bounded && byFlow[flowKey{req.Team, req.Model}] >= f.window || byTeam[req.Team] >= m.q.allowed(m.q.teams[req.Team])
		} else {
			limit, limited := m.q.modelLimits[req.Model]
			blocked = limited && byModel[req.Model] >= limit || len(m.running) >= m.q.localLimit
		}
		if !blocked {
			t.Fatalf("request %d of team %s waits though it may run", req.ID, req.Team)
		}
	}
}

func TestQueueAgainstModel(t *testing.T) {
	teams := []string{"a", "b", "c", "d"}
	models := []string{"m", "n", ""}
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{q: NewQueue(Limits{MaxTeamWaiting: modelTeamLimit, MaxPoolWaiting: modelPoolLimit}), waiting: map[uint64]Request{}, waitingByTeam: map[string]int{}}
		m.q.SetCapacity(Capacity{Slots: 4, Free: -1, Hosts: 1}, nil)
		var demands []Demand
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "burst") {
					m.lastID++
					req := Request{
						ID:       m.lastID,
						Team:     rapid.SampledFrom(teams).Draw(t, "team"),
						Weight:   rapid.Float64Range(0, 5).Draw(t, "weight"),
						Model:    rapid.SampledFrom(models).Draw(t, "model"),
						Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
						Tokens:   rapid.Int64Range(0, 1000).Draw(t, "tokens"),
						Deadline: m.now + time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline"))*time.Millisecond,
					}
					ref := m.q.Push(m.now, req)
					if ref == nil {
						m.waiting[req.ID] = req
						m.waitingByTeam[req.Team]++
					} else if ref.RetryAfter <= 0 {
						t.Fatal("refused without a time to retry")
					}
				}
				m.dispatchAndCheck(t)
			},
			"release": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
				m.q.Release(m.running[i])
				m.running = append(m.running[:i], m.running[i+1:]...)
				m.dispatchAndCheck(t)
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, m.lastID).Draw(t, "id")
				req, waits := m.waiting[id]
				if m.q.Remove(m.now, id) != waits {
					t.Fatalf("cancel of %d, waiting %v", id, waits)
				}
				if waits {
					m.forget(req)
				}
				m.dispatchAndCheck(t)
			},
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				m.q.Prune(m.now)
				m.q.SetCapacity(Capacity{Slots: rapid.SampledFrom([]int{4, 40}).Draw(t, "slots"), Free: rapid.IntRange(-1, 4).Draw(t, "spare"), Hosts: rapid.IntRange(1, 3).Draw(t, "hosts")},
					map[string]Capacity{"m": {Slots: rapid.IntRange(1, 5).Draw(t, "limit"), Free: -1}})
				m.dispatchAndCheck(t)
			},
			"report": func(*rapid.T) { demands = append(demands, m.q.Demand(m.now)) },
			"grant": func(t *rapid.T) { // may be late, repeated or out of order
				if len(demands) == 0 {
					t.Skip()
				}
				d := rapid.SampledFrom(demands).Draw(t, "demand")
				g := Grant{Seq: d.Seq, At: d.At, Lifetime: time.Second}
				for _, td := range d.Teams {
					g.Teams = append(g.Teams, TeamGrant{Team: td.Team, Window: rapid.IntRange(0, 6).Draw(t, "window")})
				}
				for _, fd := range d.Flows {
					if rapid.Bool().Draw(t, "bounded") {
						g.Flows = append(g.Flows, FlowGrant{Team: fd.Team, Model: fd.Model, Window: rapid.IntRange(0, 3).Draw(t, "flow window")})
					}
				}
				m.q.Apply(m.now, g)
				m.dispatchAndCheck(t)
			},
		})
	})
}

// TestBackloggedTeamsShareByWeight checks the fairness bound of start-time fair
// queueing: the work done for two continuously backlogged teams, divided by
// their weights, never differs by more than one request of each.
func TestBackloggedTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 1000
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 8).Draw(t, "wa"), "b": rapid.Float64Range(0.5, 8).Draw(t, "wb")}
		q := NewQueue(Limits{MaxTeamWaiting: 10000, MaxPoolWaiting: 10000})
		q.SetCapacity(Capacity{Slots: 3, Free: -1, Hosts: 1}, nil)
		id := uint64(0)
		push := func(team string) {
			id++
			tokens := rapid.Int64Range(1, largest).Draw(t, "tokens")
			if ref := q.Push(0, Request{ID: id, Team: team, Weight: weights[team], Tokens: tokens, Deadline: time.Hour}); ref != nil {
				t.Fatal(ref)
			}
		}
		for range 3 {
			push("a")
			push("b")
		}
		done := map[string]float64{}
		for range 300 {
			req, ok := q.Next(0)
			if !ok {
				t.Fatal("nothing to dispatch")
			}
			done[req.Team] += float64(req.Tokens) / req.Weight
			q.Release(req)
			push(req.Team)
			bound := largest/weights["a"] + largest/weights["b"]
			if math.Abs(done["a"]-done["b"]) > bound+1e-6 {
				t.Fatalf("work by weight: %v, bound %v", done, bound)
			}
		}
	})
}

// TestLongIdleTeamGetsItsShareOnly checks that a team that returns after the
// other was served alone for a long time is not served alone in turn.
func TestLongIdleTeamGetsItsShareOnly(t *testing.T) {
	q := NewQueue(Limits{MaxTeamWaiting: 1000, MaxPoolWaiting: 2000})
	q.SetCapacity(Capacity{Slots: 1, Free: -1, Hosts: 1}, nil)
	served := map[string]int{}
	serve := func(n int) {
		for range n {
			req, ok := q.Next(0)
			if !ok {
				t.Fatal("nothing to dispatch")
			}
			served[req.Team]++
			q.Release(req)
		}
	}
	push := func(team string, first, n int) {
		for i := range n {
			if ref := q.Push(0, Request{ID: uint64(first + i), Team: team, Tokens: 10, Deadline: time.Hour}); ref != nil {
				t.Fatal(ref)
			}
		}
	}
	push("a", 1, 900)
	serve(800)
	push("b", 1000, 100)
	serve(40)
	if served["b"] < 19 || served["b"] > 21 {
		t.Fatalf("%d of 40 requests served were of team b, want about half", served["b"])
	}
}

func TestStaleGrantsAreIgnored(t *testing.T) {
	q := NewQueue(Limits{MaxTeamWaiting: 10, MaxPoolWaiting: 10})
	q.SetCapacity(Capacity{Slots: 40, Free: -1, Hosts: 1}, nil)
	if ref := q.Push(0, Request{ID: 1, Team: "a", Deadline: time.Hour}); ref != nil {
		t.Fatal(ref)
	}
	grant := func(d Demand, window int) Grant {
		return Grant{Seq: d.Seq, At: d.At, Lifetime: time.Second, Teams: []TeamGrant{{Team: "a", Window: window}}}
	}
	first, second := q.Demand(0), q.Demand(500*time.Millisecond)
	for _, each := range []struct {
		name string
		now  time.Duration
		g    Grant
		want int
	}{
		{"the latest", 600 * time.Millisecond, grant(second, 7), 7},
		{"an earlier one, late", 600 * time.Millisecond, grant(first, 1), 7},
		{"the latest again, changed on the way", 700 * time.Millisecond, grant(second, 2), 7},
		{"one for a demand that was never made", 700 * time.Millisecond, grant(Demand{Seq: 99}, 3), 7},
	} {
		if q.Apply(each.now, each.g); q.allowed(q.teams["a"]) != each.want {
			t.Fatalf("after %s: window %d, want %d", each.name, q.allowed(q.teams["a"]), each.want)
		}
	}
	third := q.Demand(800 * time.Millisecond)
	if q.Apply(2*time.Second, grant(third, 4)); q.Granted(2 * time.Second) {
		t.Fatal("an expired grant is in force")
	}
}

// TestMessageFaultsAreHarmless simulates hosts on a network that loses, repeats
// and delays messages. Requests must still be answered by their deadlines, and
// the small team must fare no worse than without a coordinator.
func TestMessageFaultsAreHarmless(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bad := faultyRun(t, simConfig{seed: seed, loss: 0.2, duplication: 0.2, maxDelay: 2 * time.Second})
			none := faultyRun(t, simConfig{seed: seed, noCoordinator: true})
			t.Logf("small team: first token p95 %v, %v without a coordinator; refused %d and %d", bad.p95, none.p95, bad.refused, none.refused)
			if bad.refused > none.refused || float64(bad.p95) > 1.2*float64(none.p95) {
				t.Error("late, lost and repeated grants do worse than no grants")
			}
		})
	}
}

func faultyRun(t *testing.T, c simConfig) teamStats {
	t.Helper()
	c.hosts, c.engines, c.slots, c.duration, c.reportLag = 8, 4, 8, 30*time.Second, time.Second
	s := newSim(c)
	s.arrivals(simTeam{name: "small", weight: 1, rate: 2, hosts: []int{3}, service: 2 * time.Second, deadline: 10 * time.Second})
	s.arrivals(simTeam{name: "large", weight: 1, rate: 100, hosts: allHosts, service: 2 * time.Second, deadline: 10 * time.Second})
	s.run()
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	for _, r := range s.requests {
		if r.dispatched == 0 && r.refused == nil {
			t.Fatalf("request %d neither dispatched nor refused", r.ID)
		}
	}
	return s.stats("small", 0, s.duration)
}
