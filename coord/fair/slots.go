package fair

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

// Targets are the sizes of a pool's targets, in the order of its list.
type Targets struct {
	Version uint64
	Sizes   []int
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
	want := 0
	for _, t := range c.teams {
		want += t.window
	}
	if len(c.own) != len(n.targets.Sizes) {
		c.own = make([]int, len(n.targets.Sizes))
	}
	free := n.freeSlots()
	c.giveBack(want, free)
	c.take(want, free)
	s := &Slots{Version: n.targets.Version, Own: append([]int(nil), c.own...), Common: make([]int, len(free))}
	for i, f := range free {
		s.Common[i] = max(f, 0)
	}
	return s
}

// freeSlots returns the slots of each target that are neither set aside nor in
// use; negative if more are.
func (n *Node) freeSlots() []int {
	free := append([]int(nil), n.targets.Sizes...)
	for _, c := range n.children {
		for i := range free {
			free[i] -= c.taken(i)
		}
	}
	return free
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

// giveBack frees slots that the child does not use, fullest target first,
// until it has no more than it wants.
func (c *child) giveBack(want int, free []int) {
	for have := sum(c.own); have > want; have-- {
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
		free[worst]++
	}
}

// take sets free slots aside for the child, emptiest target first, until it
// has what it wants. Slots that it uses already come first.
func (c *child) take(want int, free []int) {
	have := sum(c.own)
	for i, running := range c.demand.Busy.Running {
		for c.own[i] < running && have < want {
			c.own[i]++
			have++
		}
	}
	for ; have < want; have++ {
		best := 0
		for i := range free {
			if free[i] > free[best] {
				best = i
			}
		}
		if len(free) == 0 || free[best] <= 0 {
			return
		}
		c.own[best]++
		free[best]--
	}
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}
