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
	byTeam, byModel := map[string]int{}, map[string]int{}
	for _, it := range m.running {
		byTeam[it.Team]++
		byModel[it.Model]++
	}
	for _, it := range m.waiting {
		if it.Deadline <= m.now {
			t.Fatalf("request %d waits past its deadline", it.ID)
		}
		held := byModel[it.Model] >= m.q.models[it.Model] && m.q.models[it.Model] > 0
		if m.q.Granted(m.now) {
			held = held || byTeam[it.Team] >= m.q.allowed(m.q.teams[it.Team])
		} else {
			held = held || len(m.running) >= m.q.local
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
		m.q.SetCapacity(Capacity{Slots: 4, Spare: -1, Hosts: 1})
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
				m.q.SetCapacity(Capacity{Slots: rapid.SampledFrom([]int{4, 40}).Draw(t, "slots"), Spare: rapid.IntRange(-1, 4).Draw(t, "spare"), Hosts: rapid.IntRange(1, 3).Draw(t, "hosts")})
				m.q.SetModelLimits(map[string]int{"m": rapid.IntRange(1, 5).Draw(t, "limit")})
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
		q.SetCapacity(Capacity{Slots: 3, Spare: -1, Hosts: 1})
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

func TestDivideIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 300).Draw(t, "slots")
		var claims []*claim
		for range rapid.IntRange(1, 8).Draw(t, "teams") {
			claims = append(claims, &claim{weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"), want: rapid.IntRange(0, 200).Draw(t, "want")})
		}
		left := divide(slots, claims)
		sum, unmet := left, false
		for _, c := range claims {
			sum += c.share
			unmet = unmet || c.share < c.want
			if c.share > c.want || c.share < 0 || !c.limited && c.share != c.want {
				t.Fatalf("%+v", *c)
			}
		}
		if sum != slots || unmet && left > 0 {
			t.Fatalf("%d given of %d, %d left, unmet %v", sum-left, slots, left, unmet)
		}
		for _, c := range claims {
			for _, o := range claims {
				// One slot either way is rounding.
				if c.share < c.want && float64(o.share-1)/o.weight > float64(c.share+1)/c.weight {
					t.Fatalf("%+v gets less for its weight than %+v", *c, *o)
				}
			}
		}
	})
}

// TestMessageFaultsAreHarmless runs the whole in a bad network: requests are
// answered by their deadlines all the same, and the small team fares no worse
// than without any coordinator.
func TestMessageFaultsAreHarmless(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bad := faultyRun(t, simConfig{seed: seed, lose: 0.2, dup: 0.2, maxDelay: 2 * time.Second})
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
