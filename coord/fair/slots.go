package fair

import "sort"

// Busy says where a host's requests run, by target. Targets are numbered in
// the order of the pool's list; Version identifies the list.
type Busy struct {
	Version uint64 `json:"v"`
	Running []int  `json:"r"`
}

// Slots says which slots of a pool a host may count on, by target, so that
// hosts do not queue behind one another at one target while another has room.
// It is a hint for routing and binds nobody.
type Slots struct {
	Version uint64 `json:"v"`
	Own     []int  `json:"o"` // set aside for the host
	Common  []int  `json:"c"` // free for any host
}

// Targets are a pool's targets, numbered in the order of its list.
type Targets struct {
	Version uint64
	Sizes   []int            // slots of each
	Ready   map[string][]int // targets that have a model ready, ascending
}

// assign gives the child slots up to the sum of its windows. Slots that it has
// and needs stay where they are; others are given back, and new ones come from
// the targets with the most free slots. A slot in use counts as taken by its
// user whoever it was set aside for.
func (n *Node) assign(c *child) *Slots {
	if !n.flat || c.demand.Busy == nil {
		return nil
	}
	if !n.root {
		return n.slotsGiven
	}
	if c.demand.Busy.Version != n.targets.Version || len(c.demand.Busy.Running) != len(n.targets.Sizes) {
		return nil
	}
	if len(c.own) != len(n.targets.Sizes) {
		c.own = make([]int, len(n.targets.Sizes))
	}
	needs := n.needs(c)
	free, over := n.freeSlots()
	c.giveBack(needs, free, over)
	for _, need := range needs {
		c.take(need, free, over, n.sharers)
	}
	s := &Slots{Version: n.targets.Version, Own: append([]int(nil), c.own...), Common: make([]int, len(free))}
	for i, f := range free {
		s.Common[i] = max(f, 0)
	}
	return s
}

// need is a number of slots that a child wants on some targets.
type need struct {
	slots   int
	targets []int
}

// needs returns what a child wants: slots for each flow on the targets that
// have its model ready, models that are ready on few targets first. Without
// flows it wants the sum of its windows anywhere.
func (n *Node) needs(c *child) []need {
	windows := 0
	for _, t := range c.teams {
		windows += t.window
	}
	if len(c.flows) == 0 || len(n.targets.Ready) == 0 {
		all := make([]int, len(n.targets.Sizes))
		for i := range all {
			all[i] = i
		}
		return []need{{slots: windows, targets: all}}
	}
	byModel := map[string]int{}
	for key, f := range c.flows {
		slots := f.Running + f.Waiting + 1
		if f.bounded {
			slots = min(slots, f.window)
		}
		byModel[key.model] += slots
	}
	var out []need
	for _, model := range sortedNames(byModel) {
		slots := min(byModel[model], windows)
		out = append(out, need{slots: slots, targets: n.targets.Ready[model]})
	}
	sort.SliceStable(out, func(i, j int) bool { return len(out[i].targets) < len(out[j].targets) })
	return out
}

// freeSlots returns the slots of each target that are neither set aside nor in
// use, negative if more are; and by how many more slots are set aside than
// there are, negative if fewer.
func (n *Node) freeSlots() (free, over []int) {
	free = make([]int, len(n.targets.Sizes))
	over = make([]int, len(free))
	for i, size := range n.targets.Sizes {
		free[i] = size
		over[i] = -size
		for _, c := range n.children {
			free[i] -= c.taken(i)
			if i < len(c.own) {
				over[i] += c.own[i]
			}
		}
	}
	return free, over
}

// taken returns the slots of a target that the child has or uses.
func (c *child) taken(i int) int {
	own, running := 0, 0
	if i < len(c.own) {
		own = c.own[i]
	}
	if b := c.demand.Busy; b != nil && i < len(b.Running) {
		running = b.Running[i]
	}
	return max(own, running)
}

// giveBack frees slots that the child neither uses nor needs, on the fullest
// targets first, and those of which too many were set aside.
func (c *child) giveBack(needs []need, free, over []int) {
	wanted, useful := 0, make([]bool, len(c.own))
	for _, need := range needs {
		wanted += need.slots
		for _, i := range need.targets {
			useful[i] = true
		}
	}
	for i := range c.own {
		for over[i] > 0 && c.own[i] > 0 {
			c.own[i]--
			over[i]--
		}
		for !useful[i] && c.own[i] > c.demand.Busy.Running[i] {
			c.own[i]--
			over[i]--
			free[i]++
		}
	}
	for have := sum(c.own); have > wanted; have-- {
		worst := -1
		for i, own := range c.own {
			if own > c.demand.Busy.Running[i] && (worst < 0 || free[i] < free[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			return // all in use; the next report shows some free
		}
		c.own[worst]--
		over[worst]--
		free[worst]++
	}
}

// take sets free slots aside for a need until it is met: on targets that the
// fewest teams want first, of these on the emptiest. Slots that the child uses
// already come before all.
func (c *child) take(need need, free, over, sharers []int) {
	have := 0
	for _, i := range need.targets {
		have += c.own[i]
	}
	for _, i := range need.targets {
		for over[i] < 0 && c.own[i] < c.demand.Busy.Running[i] && have < need.slots {
			c.own[i]++
			over[i]++
			have++
		}
	}
	for ; have < need.slots; have++ {
		best := -1
		for _, i := range need.targets {
			if free[i] > 0 && (best < 0 || better(i, best, free, sharers)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c.own[best]++
		over[best]++
		free[best]--
	}
}

// better orders targets for take.
func better(i, j int, free, sharers []int) bool {
	if len(sharers) == len(free) && sharers[i] != sharers[j] {
		return sharers[i] < sharers[j]
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
