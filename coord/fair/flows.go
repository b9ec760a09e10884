package fair

import (
	"math"
	"sort"
	"time"
)

const (
	// maxFlows bounds the flows in one report.
	maxFlows = 64
	// restrictedDivisor: a model that is ready on at most this part of the
	// pool's slots is divided for itself. Models ready on more are held by
	// the teams' windows well enough.
	restrictedDivisor = 2
	// minSharedSlots is the size from which a target with flows of several
	// teams keeps one slot free.
	minSharedSlots = 8
)

// flowKey is one team's demand for one model.
type flowKey struct{ team, model string }

// flow is a flow's demand over all children, and its division.
type flow struct {
	key    flowKey
	weight float64
	want   int
	share  int
}

// dividedFlows returns the flows of all children with their shares, at the
// root of a pool with few hosts.
func (n *Node) dividedFlows() []*flow {
	if !n.root || !n.flat || len(n.targets.Ready) == 0 {
		return nil
	}
	flows := n.flowTotals()
	n.divideFlows(flows)
	return flows
}

// bounds reports whether a flow is to be held at its share.
func (n *Node) bounds(f *flow) bool {
	return f.share < f.want && n.targets.Restricted(f.key.model)
}

// flowTotals adds up the flows of all children, in a fixed order.
func (n *Node) flowTotals() []*flow {
	byKey := map[flowKey]*flow{}
	for _, c := range n.children {
		for key, f := range c.flows {
			s := byKey[key]
			if s == nil {
				s = &flow{key: key, weight: 1}
				byKey[key] = s
			}
			s.want += f.Running + f.Waiting
			if t := c.teams[key.team]; t != nil {
				s.weight = t.Weight
			}
		}
	}
	out := make([]*flow, 0, len(byKey))
	for _, f := range byKey {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].key, out[j].key
		return a.team < b.team || a.team == b.team && a.model < b.model
	})
	return out
}

// divideFlows divides the slots of each target among the flows whose model is
// ready on it, by the weights of their teams, then gives what is left to
// flows that want more.
func (n *Node) divideFlows(flows []*flow) {
	left := append([]int(nil), n.targets.Sizes...)
	n.sharers = make([]int, len(left))
	for i := range left {
		var here []*flow
		perTeam := map[string]float64{}
		for _, f := range flows {
			if n.targets.ready(f.key.model, i) {
				here = append(here, f)
				perTeam[f.key.team]++
			}
		}
		claims := make([]*claim, len(here))
		for k, f := range here {
			targets := len(n.targets.Ready[f.key.model])
			claims[k] = &claim{weight: f.weight / perTeam[f.key.team], want: (f.want + targets - 1) / targets}
		}
		n.sharers[i] = len(perTeam)
		if len(perTeam) > 1 && left[i] >= minSharedSlots {
			left[i]-- // for the next request of a flow within its share
		}
		left[i] = divide(left[i], claims)
		for k, f := range here {
			f.share += claims[k].share
		}
	}
	for _, f := range flows {
		for _, i := range n.targets.Ready[f.key.model] {
			more := min(f.want-f.share, left[i])
			if more > 0 {
				f.share += more
				left[i] -= more
			}
		}
	}
}

// ready reports whether a model is ready on the i-th target.
func (t *Targets) ready(model string, i int) bool {
	list := t.Ready[model]
	at := sort.SearchInts(list, i)
	return at < len(list) && list[at] == i
}

// Restricted reports whether a model is ready on a small part of the pool, and
// is divided for itself.
func (t *Targets) Restricted(model string) bool {
	slots := 0
	for _, i := range t.Ready[model] {
		slots += t.Sizes[i]
	}
	return slots > 0 && slots <= sum(t.Sizes)/restrictedDivisor
}

// grantFlows returns the windows of a child's flows that want more than their
// share.
func (n *Node) grantFlows(c *child, flows []*flow, dt time.Duration) []FlowGrant {
	if !n.flat {
		return nil
	}
	if !n.root {
		return n.flowsGiven
	}
	var out []FlowGrant
	for _, f := range flows {
		t := c.flows[f.key]
		if t == nil {
			continue
		}
		if t.bounded = n.bounds(f); !t.bounded {
			continue
		}
		x := float64(f.share) * float64(t.Running+t.Waiting) / float64(f.want)
		t.settle(dt, x)
		t.window = round(x, f.share, t, func() int { return n.flowOthers(c, f.key) })
		out = append(out, FlowGrant{Team: f.key.team, Model: f.key.model, Window: t.window})
	}
	return out
}

// flowOthers returns what the other children have or may have running.
func (n *Node) flowOthers(c *child, key flowKey) int {
	others := 0
	for _, o := range n.children {
		if f := o.flows[key]; o != c && f != nil {
			others += max(f.window, f.Running)
		}
	}
	return others
}

// round rounds a child's exact part of a share to whole slots. Children take
// turns with the slots left over by rounding down: one may have it if it is
// not ahead of its exact part and the windows given to the others leave room.
func round(x float64, share int, t *childTeam, others func() int) int {
	base := int(math.Floor(x))
	if x == float64(base) || t.debt < 0 {
		return base
	}
	if others()+base+1 <= share {
		return base + 1
	}
	return base
}
