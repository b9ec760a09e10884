package fair

import (
	"math"
	"sort"
	"time"
)

const (
	// maxFlows is the largest number of flows in one report.
	maxFlows = 64
	// restrictedDivisor limits the models whose slots are divided separately
	// to those that are ready on at most the pool's slots divided by this
	// number. For models that are ready on more slots the teams' windows suffice.
	restrictedDivisor = 2
	// minSharedSlots is the number of slots from which a target with flows
	// of several teams keeps one slot free.
	minSharedSlots = 8
)

// flowKey identifies a flow: the requests of one team for one model.
type flowKey struct{ team, model string }

// flowTotal is the demand of a flow over all children and the share it gets.
type flowTotal struct {
	key    flowKey
	weight float64
	want   int
	share  int
}

// dividedFlows returns the flows of all children with their shares. It returns
// nil unless the node is the root of a pool with few hosts and some model is ready.
func (n *Node) dividedFlows() []*flowTotal {
	if !n.root || !n.flat || len(n.targets.Ready) == 0 {
		return nil
	}
	flows := n.flowTotals()
	n.divideFlows(flows)
	return flows
}

// isBounded reports whether a flow is limited to its share.
func (n *Node) isBounded(f *flowTotal) bool {
	return f.share < f.want && n.targets.Restricted(f.key.model)
}

// flowTotals adds up the flows of all children, in a fixed order.
func (n *Node) flowTotals() []*flowTotal {
	byKey := map[flowKey]*flowTotal{}
	for _, c := range n.children {
		for key, f := range c.flows {
			total := byKey[key]
			if total == nil {
				total = &flowTotal{key: key, weight: 1}
				byKey[key] = total
			}
			total.want += f.Running + f.Waiting
			if t := c.teams[key.team]; t != nil {
				total.weight = t.Weight
			}
		}
	}
	out := make([]*flowTotal, 0, len(byKey))
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
// ready on it, by the weights of their teams. It then gives the remaining slots
// to the flows that want more.
func (n *Node) divideFlows(flows []*flowTotal) {
	left := append([]int(nil), n.targets.Slots...)
	n.teamsOnTarget = make([]int, len(left))
	for i := range left {
		var here []*flowTotal
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
		n.teamsOnTarget[i] = len(perTeam)
		if len(perTeam) > 1 && left[i] >= minSharedSlots {
			left[i]-- // kept free for the next request of a flow within its share
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

// Restricted reports whether a model is ready on so small a part of the pool
// that its slots are divided separately.
func (t *Targets) Restricted(model string) bool {
	slots := 0
	for _, i := range t.Ready[model] {
		slots += t.Slots[i]
	}
	return slots > 0 && slots <= sum(t.Slots)/restrictedDivisor
}

// flowGrants returns the windows of those flows of a child that are limited to
// their shares.
func (n *Node) flowGrants(c *child, flows []*flowTotal, dt time.Duration) []FlowGrant {
	if !n.flat {
		return nil
	}
	if !n.root {
		return n.parentFlows
	}
	var out []FlowGrant
	for _, f := range flows {
		t := c.flows[f.key]
		if t == nil {
			continue
		}
		if t.bounded = n.isBounded(f); !t.bounded {
			continue
		}
		exact := float64(f.share) * float64(t.Running+t.Waiting) / float64(f.want)
		t.updateDeficit(dt, exact)
		t.window = roundWindow(exact, f.share, t, func() int { return n.flowWindowsOfOthers(c, f.key) })
		out = append(out, FlowGrant{Team: f.key.team, Model: f.key.model, Window: t.window})
	}
	return out
}

// flowWindowsOfOthers returns the number of a flow's requests that the other
// children run or may run.
func (n *Node) flowWindowsOfOthers(c *child, key flowKey) int {
	others := 0
	for _, o := range n.children {
		if f := o.flows[key]; o != c && f != nil {
			others += max(f.window, f.Running)
		}
	}
	return others
}

// roundWindow rounds a child's exact part of a share to whole slots. The
// children take turns with the slots left over by rounding down: a child gets
// one if it has not had more than its exact part so far and the windows of the
// other children leave room within the share.
func roundWindow(exact float64, share int, t *childDemand, others func() int) int {
	base := int(math.Floor(exact))
	if exact == float64(base) || t.deficit < 0 {
		return base
	}
	if others()+base+1 <= share {
		return base + 1
	}
	return base
}
