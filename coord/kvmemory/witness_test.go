package kvmemory

import (
	"slices"
	"testing"
	"time"
)

// TestLostWitnessHoldsUpNobodyWhoKnowsItsSuccessor guards against large requests that are all held up for two seconds by a witness that is
// late once. Controls: nothing is granted without another witness, nor a share for nodes that may be in a group with the former one.
func TestLostWitnessHoldsUpNobodyWhoKnowsItsSuccessor(t *testing.T) {
	l, now := NewLedger(1), time.Hour
	nodes := []string{"a", "b", "c", "d"}
	report := func(epoch uint64, names ...string) {
		for _, name := range names {
			l.Report(now, name, NodeReport{Incarnation: "1", Epoch: epoch})
		}
	}
	grants := func(tokens int64) bool {
		k := Key{"a", "1", uint64(now)}
		a := l.Ask(now, Request{Key: k, Engines: []string{"e"}, Tokens: tokens, Until: now + time.Minute}, len(nodes), func(string) Room { return Room{Together: testRoom, Alone: testRoom} })
		l.Cancel(k)
		return a.Granted
	}
	takeWitness := func(epoch uint64) {
		tell, _ := l.Witness(now, []string{"b"}, epoch)
		l.Told(now, tell, true)
	}
	report(0, nodes...)
	takeWitness(2)
	for range 8 {
		now += 400 * time.Millisecond
		report(2, nodes...)
	}
	if !grants(testRoom) {
		t.Fatal("not granted before the loss")
	}
	l.LoseWitness(now)
	now += 10 * time.Millisecond
	report(2, nodes...)
	if grants(1) {
		t.Error("granted without another witness")
	}
	takeWitness(3)
	if report(2, nodes...); grants(1) {
		t.Error("granted to nodes that may be in a group with the former witness")
	}
	now += 400 * time.Millisecond
	report(2, "d")
	if report(3, "a", "b"); !grants(testRoom/2) || grants(testRoom/2+1) {
		t.Error("half of the nodes know the new witness, and do not get half of the room")
	}
	for range 5 {
		now += 400 * time.Millisecond
		report(2, "d")
		report(3, "a", "b", "c")
	}
	if !grants(testRoom) {
		t.Error("not all is granted after two seconds")
	}
}

// TestCutFromTheWitnessWhileIdle guards against two groups that both grant the same free memory: the coordinator is cut off from its
// witness, which goes on with its copy, while all engines are empty and long prompts come in both groups.
func TestCutFromTheWitnessWhileIdle(t *testing.T) {
	m, served := memories[0], 0
	for seed := range uint64(40) {
		s := newSim(8, 2, RoomFor(m.capacity, m.slots, 0), seed)
		s.lose = 0
		s.play(4 * time.Second)
		for i := range s.side[1:] {
			s.side[i+1] = s.random.IntN(2)
		}
		witness := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == s.nodes[0].ledger.WitnessNode() })
		s.side[witness] = 1
		s.load(5*time.Second, 60, m.capacity, m.slots)
		served += s.served
		if s.worst > 1 {
			t.Errorf("seed %d: %.3f of the memory in use", seed, s.worst)
		}
	}
	if t.Logf("%d served", served); served < 40*20 {
		t.Errorf("%d served in 40 runs, want some in each", served)
	}
}
