package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSlotsNeverExceedTheRoom plays nodes that take, use and return slots in random order: together they never use more
// than the room, and what they return serves the others.
func TestSlotsNeverExceedTheRoom(t *testing.T) {
	const capacity, nodes, steps = 14, 8, 20_000
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := NewLedger()
		nodeSlots, inUse := make([]*NodeSlots, nodes), make([]int, nodes)
		for i := range nodeSlots {
			nodeSlots[i] = NewNodeSlots()
		}
		now, served := time.Duration(0), 0
		for range steps {
			now += 5 * time.Millisecond
			i := rng.IntN(nodes)
			name := fmt.Sprint(i)
			switch rng.IntN(3) {
			case 0:
				if inUse[i] >= nodeSlots[i].Held("e") && l.Ask(now, "e", name, capacity, 0) {
					nodeSlots[i].Add(now, "e")
				}
				if inUse[i] < nodeSlots[i].Held("e") {
					inUse[i]++
					served++
					nodeSlots[i].Used(now, "e", inUse[i])
				}
			case 1:
				if inUse[i] > 0 {
					inUse[i]--
				}
			default:
				if limit := l.Cap(now, "e", capacity); limit >= 0 {
					nodeSlots[i].SetLimits(map[string]int{"e": limit})
				} else {
					nodeSlots[i].SetLimits(nil)
				}
				nodeSlots[i].GiveUp(now, func(string) int { return inUse[i] })
				l.Set(name, nodeSlots[i].All())
			}
			used, held := 0, 0
			for j := range nodeSlots {
				used += inUse[j]
				held += nodeSlots[j].Held("e")
				if inUse[j] > nodeSlots[j].Held("e") {
					t.Fatalf("seed %d: node %d uses %d of %d slots", seed, j, inUse[j], nodeSlots[j].Held("e"))
				}
			}
			if used > capacity || held != l.account("e").sum() {
				t.Fatalf("seed %d: %d slots used, %d held, %d in the ledger, room for %d", seed, used, held, l.account("e").sum(), capacity)
			}
		}
		if served < steps/6 {
			t.Errorf("seed %d: %d uses in %d steps", seed, served, steps)
		}
	}
}

// TestNodeThatLacksSlotsGetsSome guards against nodes that keep all slots for as long as they have work.
func TestNodeThatLacksSlotsGetsSome(t *testing.T) {
	l, busy := NewLedger(), NewNodeSlots()
	for l.Ask(0, "e", "busy", 8, 0) {
		busy.Add(0, "e")
	}
	if l.Ask(0, "e", "other", 8, 0) {
		t.Fatal("a slot beyond the room")
	}
	limit := l.Cap(0, "e", 8)
	busy.SetLimits(map[string]int{"e": limit})
	busy.GiveUp(0, func(string) int { return limit })
	l.Set("busy", busy.All())
	got := 0
	for l.Ask(0, "e", "other", 8, 0) {
		got++
	}
	if limit != 4 || got != 4 {
		t.Errorf("the busy node may keep %d, the other one gets %d, want 4 and 4", limit, got)
	}
}

// TestRequestsWithoutASlotCount guards against filling a target to its room with new requests while older ones, from before
// it was brittle, are still there.
func TestRequestsWithoutASlotCount(t *testing.T) {
	l, got := NewLedger(), 0
	for l.Ask(0, "e", "a", 8, 5) {
		got++
	}
	if got != 3 || l.Held("e", "a") != 3 {
		t.Errorf("%d slots granted beside 5 requests, room for 8", got)
	}
}

// TestLostNodeFreesItsSlots covers a node that is gone, and a ledger that begins with what nodes report.
func TestLostNodeFreesItsSlots(t *testing.T) {
	l := NewLedger()
	l.Set("a", map[string]int{"e": 3})
	if l.Ask(0, "e", "b", 3, 0) {
		t.Error("a slot that another node holds")
	}
	l.Drop("a")
	if !l.Ask(0, "e", "b", 3, 0) {
		t.Error("no slot after the other node is gone")
	}
	l.Expire(func(string) bool { return false })
	if len(l.targets) > 0 {
		t.Error("an account of a target that is gone")
	}
}
