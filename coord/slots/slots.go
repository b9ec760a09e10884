// Package slots keeps the requests that all nodes together have at a target within its room, without a call for each
// request: nodes hold slots that a coordinator has granted, use them as often as they like, and give back those that
// they no longer need. It is a core without I/O.
package slots

import "time"

// Times of a Ledger and a NodeSlots.
const (
	// keepTime is how long a node keeps a slot that it does not use.
	keepTime = 500 * time.Millisecond
	// wantTime is how long a node that was denied a slot counts as wanting one.
	wantTime = time.Second
)

// Ledger is the coordinator's account of the slots that nodes hold. It is not safe for concurrent use.
type Ledger struct {
	targets map[string]*account
}

// account is the account of one target.
type account struct {
	held     map[string]int           // by node
	wantedAt map[string]time.Duration // by node, when it was last denied a slot
}

// NewLedger returns an account in which no node holds a slot.
func NewLedger() *Ledger { return &Ledger{targets: map[string]*account{}} }

func (l *Ledger) account(target string) *account {
	a := l.targets[target]
	if a == nil {
		a = &account{held: map[string]int{}, wantedAt: map[string]time.Duration{}}
		l.targets[target] = a
	}
	return a
}

func (a *account) sum() int {
	n := 0
	for _, held := range a.held {
		n += held
	}
	return n
}

// Ask grants a node one more slot of a target if the slots held, and the requests that are there without a slot, are below
// its capacity.
func (l *Ledger) Ask(now time.Duration, target, node string, capacity, withoutSlot int) bool {
	a := l.account(target)
	if limit := l.Cap(now, target, capacity); a.sum()+withoutSlot >= capacity || limit >= 0 && a.held[node] >= limit {
		a.wantedAt[node] = now
		return false
	}
	a.held[node]++
	delete(a.wantedAt, node)
	return true
}

// Held returns how many slots of a target a node holds.
func (l *Ledger) Held(target, node string) int {
	if a := l.targets[target]; a != nil {
		return a.held[node]
	}
	return 0
}

// Set records how many slots of each target a node holds, as it reports.
func (l *Ledger) Set(node string, held map[string]int) {
	for target, a := range l.targets {
		if held[target] == 0 {
			delete(a.held, node)
		}
	}
	for target, n := range held {
		if n > 0 {
			l.account(target).held[node] = n
		}
	}
}

// Drop forgets a node that is gone.
func (l *Ledger) Drop(node string) {
	for _, a := range l.targets {
		delete(a.held, node)
		delete(a.wantedAt, node)
	}
}

// Cap returns how many slots of a target a node may keep: a fair share while some node lacks one, else -1 for any number.
func (l *Ledger) Cap(now time.Duration, target string, capacity int) int {
	a := l.account(target)
	nodes := len(a.held)
	lacking := false
	for node, at := range a.wantedAt {
		if now-at > wantTime {
			delete(a.wantedAt, node)
			continue
		}
		lacking = true
		if a.held[node] == 0 {
			nodes++
		}
	}
	if !lacking || nodes == 0 {
		return -1
	}
	return max(1, (capacity+nodes-1)/nodes)
}

// Targets returns the targets of which nodes hold slots, or lack some.
func (l *Ledger) Targets() []string {
	out := make([]string, 0, len(l.targets))
	for target := range l.targets {
		out = append(out, target)
	}
	return out
}

// Expire forgets targets for which listed returns false.
func (l *Ledger) Expire(listed func(target string) bool) {
	for target := range l.targets {
		if !listed(target) {
			delete(l.targets, target)
		}
	}
}

// NodeSlots holds the slots of one node. It is not safe for concurrent use.
type NodeSlots struct {
	targets map[string]*holding
}

type holding struct {
	held     int
	limit    int           // as the ledger last told; -1: none
	neededAt time.Duration // when all held slots were last in use
}

// NewNodeSlots returns the slots of a node that holds none.
func NewNodeSlots() *NodeSlots { return &NodeSlots{targets: map[string]*holding{}} }

// Held returns how many slots of a target the node holds.
func (p *NodeSlots) Held(target string) int {
	if h := p.targets[target]; h != nil {
		return h.held
	}
	return 0
}

// Add adds a slot that was granted.
func (p *NodeSlots) Add(now time.Duration, target string) {
	h := p.targets[target]
	if h == nil {
		h = &holding{limit: -1}
		p.targets[target] = h
	}
	h.held++
	h.neededAt = now
}

// Used records how many requests the node has at a target.
func (p *NodeSlots) Used(now time.Duration, target string, inUse int) {
	if h := p.targets[target]; h != nil && inUse >= h.held {
		h.neededAt = now
	}
}

// SetLimits records how many slots of each target the node may keep. There is none for the others.
func (p *NodeSlots) SetLimits(limits map[string]int) {
	for target, h := range p.targets {
		h.limit = -1
		if n, ok := limits[target]; ok {
			h.limit = n
		}
	}
}

// GiveUp gives up the slots that are not needed or exceed the limit, but for those in use.
func (p *NodeSlots) GiveUp(now time.Duration, inUse func(target string) int) {
	for target, h := range p.targets {
		used, keep := inUse(target), h.held
		if now-h.neededAt >= keepTime {
			keep = used
			h.neededAt = now
		}
		if h.limit >= 0 {
			keep = min(keep, h.limit)
		}
		h.held = max(keep, min(used, h.held))
		if h.held == 0 {
			delete(p.targets, target)
		}
	}
}

// All returns the slots held by target.
func (p *NodeSlots) All() map[string]int {
	out := make(map[string]int, len(p.targets))
	for target, h := range p.targets {
		out[target] = h.held
	}
	return out
}
