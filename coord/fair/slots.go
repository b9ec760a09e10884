package fair

import "sort"

// TargetLoad is the number of a host's running requests on each target. Targets
// are numbered in the order of the pool's list; Version identifies the list.
type TargetLoad struct {
	Version uint64 `json:"v"`
	Running []int  `json:"r"`
}

// SlotQuotas is the number of slots on each target that a host may count on. It
// keeps hosts from queueing at the same target while another has free slots. It
// is only a hint for routing.
type SlotQuotas struct {
	Version uint64 `json:"v"`
	Own     []int  `json:"o"` // reserved for the host
	Common  []int  `json:"c"` // free for any host
}

// Targets are a pool's targets, numbered in the order of its list.
type Targets struct {
	Version uint64
	Slots   []int            // slots of each target
	Ready   map[string][]int // numbers of the targets on which a model is ready, ascending, by model
}

// assignSlots reserves slots for the child, up to the sum of its windows. Slots
// that the child has and needs stay reserved, others are released, and new ones
// are taken from the targets with the most free slots. A slot in use counts as
// taken by the host that uses it, whichever host it was reserved for.
func (n *Node) assignSlots(c *child) *SlotQuotas {
	if !n.flat || c.demand.TargetLoad == nil {
		return nil
	}
	if !n.root {
		return n.parentQuotas
	}
	if c.demand.TargetLoad.Version != n.targets.Version || len(c.demand.TargetLoad.Running) != len(n.targets.Slots) {
		return nil
	}
	if len(c.reserved) != len(n.targets.Slots) {
		c.reserved = make([]int, len(n.targets.Slots))
	}
	needs := n.slotNeeds(c)
	free, overreserved := n.freeSlots()
	c.releaseSlots(needs, free, overreserved)
	for _, need := range needs {
		c.reserveSlots(need, free, overreserved, n.teamsOnTarget)
	}
	s := &SlotQuotas{Version: n.targets.Version, Own: append([]int(nil), c.reserved...), Common: make([]int, len(free))}
	for i, f := range free {
		s.Common[i] = max(f, 0)
	}
	return s
}

// slotNeed is the number of slots that a child wants on any of several targets.
type slotNeed struct {
	slots   int
	targets []int
}

// slotNeeds returns the slots that a child wants: for each model, slots for its
// flows on the targets on which the model is ready. Models that are ready on few
// targets come first. A child without flows wants the sum of its windows on any
// targets.
func (n *Node) slotNeeds(c *child) []slotNeed {
	windows := 0
	for _, t := range c.teams {
		windows += t.window
	}
	if len(c.flows) == 0 || len(n.targets.Ready) == 0 {
		all := make([]int, len(n.targets.Slots))
		for i := range all {
			all[i] = i
		}
		return []slotNeed{{slots: windows, targets: all}}
	}
	byModel := map[string]int{}
	for key, f := range c.flows {
		slots := f.Running + f.Waiting + 1
		if f.bounded {
			slots = min(slots, f.window)
		}
		byModel[key.model] += slots
	}
	var out []slotNeed
	for _, model := range sortedNames(byModel) {
		slots := min(byModel[model], windows)
		out = append(out, slotNeed{slots: slots, targets: n.targets.Ready[model]})
	}
	sort.SliceStable(out, func(i, j int) bool { return len(out[i].targets) < len(out[j].targets) })
	return out
}

// freeSlots returns two numbers for each target: its slots minus those that are
// reserved or in use, and the reserved slots minus its slots. Either may be
// negative.
func (n *Node) freeSlots() (free, overreserved []int) {
	free = make([]int, len(n.targets.Slots))
	overreserved = make([]int, len(free))
	for i, slots := range n.targets.Slots {
		free[i] = slots
		overreserved[i] = -slots
		for _, c := range n.children {
			free[i] -= c.occupied(i)
			if i < len(c.reserved) {
				overreserved[i] += c.reserved[i]
			}
		}
	}
	return free, overreserved
}

// occupied returns the number of slots of a target that are reserved for the
// child or that it uses, whichever is larger.
func (c *child) occupied(i int) int {
	reserved, running := 0, 0
	if i < len(c.reserved) {
		reserved = c.reserved[i]
	}
	if load := c.demand.TargetLoad; load != nil && i < len(load.Running) {
		running = load.Running[i]
	}
	return max(reserved, running)
}

// releaseSlots releases slots that the child neither uses nor needs, on the
// fullest targets first, and reserved slots beyond the number that a target has.
func (c *child) releaseSlots(needs []slotNeed, free, overreserved []int) {
	needed, useful := 0, make([]bool, len(c.reserved))
	for _, need := range needs {
		needed += need.slots
		for _, i := range need.targets {
			useful[i] = true
		}
	}
	for i := range c.reserved {
		for overreserved[i] > 0 && c.reserved[i] > 0 {
			c.reserved[i]--
			overreserved[i]--
		}
		for !useful[i] && c.reserved[i] > c.demand.TargetLoad.Running[i] {
			c.reserved[i]--
			overreserved[i]--
			free[i]++
		}
	}
	for have := sum(c.reserved); have > needed; have-- {
		worst := -1
		for i, own := range c.reserved {
			if own > c.demand.TargetLoad.Running[i] && (worst < 0 || free[i] < free[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			return // all are in use until a later report shows otherwise
		}
		c.reserved[worst]--
		overreserved[worst]--
		free[worst]++
	}
}

// reserveSlots reserves free slots until a need is met. Slots that the child
// already uses come first, then those on targets for which the fewest teams have
// flows, and among these on the targets with the most free slots.
func (c *child) reserveSlots(need slotNeed, free, overreserved, teamsOnTarget []int) {
	reserved := 0
	for _, i := range need.targets {
		reserved += c.reserved[i]
	}
	for _, i := range need.targets {
		for overreserved[i] < 0 && c.reserved[i] < c.demand.TargetLoad.Running[i] && reserved < need.slots {
			c.reserved[i]++
			overreserved[i]++
			reserved++
		}
	}
	for ; reserved < need.slots; reserved++ {
		best := -1
		for _, i := range need.targets {
			if free[i] > 0 && (best < 0 || preferTarget(i, best, free, teamsOnTarget)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c.reserved[best]++
		overreserved[best]++
		free[best]--
	}
}

// preferTarget reports whether reserveSlots prefers target i to target j.
func preferTarget(i, j int, free, teamsOnTarget []int) bool {
	if len(teamsOnTarget) == len(free) && teamsOnTarget[i] != teamsOnTarget[j] {
		return teamsOnTarget[i] < teamsOnTarget[j]
	}
	return free[i] > free[j]
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}
