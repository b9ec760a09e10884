package fair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model tracks what a Queue was given and gave back.
type model struct {
	q        *Queue
	now      time.Duration
	next     uint64
	waiting  map[uint64]Item
	running  []Item
	teamSize map[string]int
}

const (
	modelTeamItems = 20
	modelPoolItems = 50
)

func (m *model) settle(t *rapid.T) {
	for {
		it, ok := m.q.Next(m.now)
		if !ok {
			break
		}
		if _, waits := m.waiting[it.ID]; !waits {
			t.Fatalf("request %d dispatched without waiting", it.ID)
		}
		if m.now >= it.Deadline {
			t.Fatalf("request %d dispatched %v after its deadline", it.ID, m.now-it.Deadline)
		}
		m.drop(it)
		m.running = append(m.running, it)
	}
	for _, r := range m.q.Expire(m.now) {
		if _, waits := m.waiting[r.Item.ID]; !waits {
			t.Fatalf("request %d refused without waiting", r.Item.ID)
		}
		m.drop(r.Item)
	}
	m.check(t)
}

func (m *model) drop(it Item) {
	delete(m.waiting, it.ID)
	m.teamSize[it.Team]--
}

// check compares counts and looks for a request that waits though nothing
// holds it: the queue must conserve work.
func (m *model) check(t *rapid.T) {
	if m.q.Waiting() != len(m.waiting) || m.q.Running() != len(m.running) {
		t.Fatalf("queue has %d waiting and %d running, model %d and %d", m.q.Waiting(), m.q.Running(), len(m.waiting), len(m.running))
	}
	if len(m.waiting) > modelPoolItems {
		t.Fatalf("%d waiting", len(m.waiting))
	}
	byTeam, byModel, byFlow := map[string]int{}, map[string]int{}, map[flowKey]int{}
	for _, it := range m.running {
		byTeam[it.Team]++
		byModel[it.Model]++
		byFlow[flowKey{it.Team, it.Model}]++
	}
	for _, it := range m.waiting {
		if it.Deadline <= m.now {
			t.Fatalf("request %d waits past its deadline", it.ID)
		}
		held := false
		if m.q.Granted(m.now) {
			l := m.q.teams[it.Team].lanes[it.Model]
			held = l.bounded && byFlow[flowKey{it.Team, it.Model}] >= l.window || byTeam[it.Team] >= m.q.allowed(m.q.teams[it.Team])
		} else {
			limit, limited := m.q.models[it.Model]
			held = limited && byModel[it.Model] >= limit || len(m.running) >= m.q.local
		}
		if !held {
			t.Fatalf("request %d of team %s waits though it may run", it.ID, it.Team)
		}
	}
}

func TestQueueAgainstModel(t *testing.T) {
	teams := []string{"a", "b", "c", "d"}
	models := []string{"m", "n", ""}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: NewQueue(Limits{TeamItems: modelTeamItems, PoolItems: modelPoolItems}), waiting: map[uint64]Item{}, teamSize: map[string]int{}}
		m.q.SetCapacity(Capacity{Slots: 4, Spare: -1, Hosts: 1}, nil)
		var demands []Demand
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "burst") {
					m.next++
					it := Item{
						ID:       m.next,
						Team:     rapid.SampledFrom(teams).Draw(t, "team"),
						Weight:   rapid.Float64Range(0, 5).Draw(t, "weight"),
						Model:    rapid.SampledFrom(models).Draw(t, "model"),
						Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
						Tokens:   rapid.Int64Range(0, 1000).Draw(t, "tokens"),
						Deadline: m.now + time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline"))*time.Millisecond,
					}
					ref := m.q.Push(m.now, it)
					if ref == nil {
						m.waiting[it.ID] = it
						m.teamSize[it.Team]++
					} else if ref.RetryAfter <= 0 {
						t.Fatal("refused without a time to retry")
					}
				}
				m.settle(t)
			},
			"release": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
				m.q.Release(m.running[i])
				m.running = append(m.running[:i], m.running[i+1:]...)
				m.settle(t)
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, m.next).Draw(t, "id")
				it, waits := m.waiting[id]
				if m.q.Remove(m.now, id) != waits {
					t.Fatalf("cancel of %d, waiting %v", id, waits)
				}
				if waits {
					m.drop(it)
				}
				m.settle(t)
			},
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				m.q.Prune(m.now)
				m.q.SetCapacity(Capacity{Slots: rapid.SampledFrom([]int{4, 40}).Draw(t, "slots"), Spare: rapid.IntRange(-1, 4).Draw(t, "spare"), Hosts: rapid.IntRange(1, 3).Draw(t, "hosts")},
					map[string]Capacity{"m": {Slots: rapid.IntRange(1, 5).Draw(t, "limit"), Spare: -1}})
				m.settle(t)
			},
			"report": func(*rapid.T) { demands = append(demands, m.q.Demand(m.now)) },
			"grant": func(t *rapid.T) { // late, repeated and out of order
				if len(demands) == 0 {
					t.Skip()
				}
				d := rapid.SampledFrom(demands).Draw(t, "demand")
				g := Grant{Seq: d.Seq, At: d.At, Life: time.Second}
				for _, td := range d.Teams {
					g.Teams = append(g.Teams, TeamGrant{Team: td.Team, Window: rapid.IntRange(0, 6).Draw(t, "window")})
				}
				for _, fd := range d.Flows {
					if rapid.Bool().Draw(t, "bounded") {
						g.Flows = append(g.Flows, FlowGrant{Team: fd.Team, Model: fd.Model, Window: rapid.IntRange(0, 3).Draw(t, "flow window")})
					}
				}
				m.q.Apply(m.now, g)
				m.settle(t)
			},
		})
	})
}

// TestBackloggedTeamsShareByWeight checks the bound of start-time fair
// queueing: the work done for two teams that always wait, divided by their
// weights, never differs by more than one request of each.
func TestBackloggedTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 1000
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 8).Draw(t, "wa"), "b": rapid.Float64Range(0.5, 8).Draw(t, "wb")}
		q := NewQueue(Limits{TeamItems: 10000, PoolItems: 10000})
		q.SetCapacity(Capacity{Slots: 3, Spare: -1, Hosts: 1}, nil)
		id := uint64(0)
		push := func(team string) {
			id++
			tokens := rapid.Int64Range(1, largest).Draw(t, "tokens")
			if ref := q.Push(0, Item{ID: id, Team: team, Weight: weights[team], Tokens: tokens, Deadline: time.Hour}); ref != nil {
				t.Fatal(ref)
			}
		}
		for range 3 {
			push("a")
			push("b")
		}
		done := map[string]float64{}
		for range 300 {
			it, ok := q.Next(0)
			if !ok {
				t.Fatal("nothing to dispatch")
			}
			done[it.Team] += float64(it.Tokens) / it.Weight
			q.Release(it)
			push(it.Team)
			bound := largest/weights["a"] + largest/weights["b"]
			if math.Abs(done["a"]-done["b"]) > bound+1e-6 {
				t.Fatalf("work by weight: %v, bound %v", done, bound)
			}
		}
	})
}

// TestLongIdleTeamGetsItsShareOnly has a team return after the other was
// served alone for long: it must not be served alone in turn.
func TestLongIdleTeamGetsItsShareOnly(t *testing.T) {
	q := NewQueue(Limits{TeamItems: 1000, PoolItems: 2000})
	q.SetCapacity(Capacity{Slots: 1, Spare: -1, Hosts: 1}, nil)
	served := map[string]int{}
	serve := func(n int) {
		for range n {
			it, ok := q.Next(0)
			if !ok {
				t.Fatal("nothing to dispatch")
			}
			served[it.Team]++
			q.Release(it)
		}
	}
	push := func(team string, first, n int) {
		for i := range n {
			if ref := q.Push(0, Item{ID: uint64(first + i), Team: team, Tokens: 10, Deadline: time.Hour}); ref != nil {
				t.Fatal(ref)
			}
		}
	}
	push("a", 1, 900)
	serve(800)
	push("b", 1000, 100)
	serve(40)
	if served["b"] < 19 || served["b"] > 21 {
		t.Fatalf("team b had %d of 40 turns beside an equal team", served["b"])
	}
}

func TestOldGrantsChangeNothing(t *testing.T) {
	q := NewQueue(Limits{TeamItems: 10, PoolItems: 10})
	q.SetCapacity(Capacity{Slots: 40, Spare: -1, Hosts: 1}, nil)
	if ref := q.Push(0, Item{ID: 1, Team: "a", Deadline: time.Hour}); ref != nil {
		t.Fatal(ref)
	}
	grant := func(d Demand, window int) Grant {
		return Grant{Seq: d.Seq, At: d.At, Life: time.Second, Teams: []TeamGrant{{Team: "a", Window: window}}}
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
		t.Fatal("a grant is in force after its life")
	}
}

// TestMessageFaultsAreHarmless runs the whole in a bad network: requests are
// answered by their deadlines all the same, and the small team fares no worse
// than without any coordinator.
func TestMessageFaultsAreHarmless(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bad := faultyRun(t, simConfig{seed: seed, loss: 0.2, dup: 0.2, maxDelay: 2 * time.Second})
			none := faultyRun(t, simConfig{seed: seed, noCoordinator: true})
			t.Logf("small team: first token p95 %v, %v without coordinator; refused %d and %d", bad.p95, none.p95, bad.refused, none.refused)
			if bad.refused > none.refused || float64(bad.p95) > 1.2*float64(none.p95) {
				t.Error("late, lost and repeated grants do worse than none")
			}
		})
	}
}

func faultyRun(t *testing.T, c simConfig) teamStats {
	t.Helper()
	c.hosts, c.engines, c.slots, c.length, c.reportLag = 8, 4, 8, 30*time.Second, time.Second
	s := newSim(c)
	s.arrivals(simTeam{name: "small", weight: 1, rate: 2, hosts: []int{3}, service: 2 * time.Second, deadline: 10 * time.Second})
	s.arrivals(simTeam{name: "large", weight: 1, rate: 100, hosts: allHosts, service: 2 * time.Second, deadline: 10 * time.Second})
	s.run()
	if s.violated != "" {
		t.Fatal(s.violated)
	}
	for _, r := range s.requests {
		if r.dispatched == 0 && r.refused == nil {
			t.Fatalf("request %d neither dispatched nor refused", r.ID)
		}
	}
	return s.stats("small", 0, s.length)
}
