package fair

import (
	"math"
	"sort"
	"time"
)

// shares fills in what each team may run below this node.
func (n *Node) shares(now time.Duration, totals map[string]*total) {
	if !n.root {
		for name, s := range totals {
			w, named := n.windows[name]
			s.share, s.limited = w.Window, w.Limited
			if !named {
				s.share = s.Running
			}
		}
		return
	}
	slots := max(n.slots-n.unseenSlots(), 0)
	n.credits.advance(now, slots, totals)
	spare := n.divideRoot(slots, totals)
	reserve := n.reserve(slots, totals)
	squeeze(reserve, totals)
	grow(spare+reserve, totals)
}

// reserve returns the slots to keep free in a contended pool: about as many as
// the demand of the teams within their shares may grow by between two reports.
// It grows with the square root of a demand, as the spread of arrivals does.
func (n *Node) reserve(slots int, totals map[string]*total) int {
	contended, within := false, 0
	for _, s := range totals {
		contended = contended || s.limited
		if !s.limited {
			within += s.want
		}
	}
	if !contended || len(n.recent) < 2 {
		return 0
	}
	return min(slots/reserveDivisor, 2+int(math.Ceil(math.Sqrt(float64(within)))))
}

// divideRoot gives out slots by weighted max-min, then lets teams with credit
// have more than their share at the cost of the others that are limited. It
// returns what nobody wants.
func (n *Node) divideRoot(slots int, totals map[string]*total) (left int) {
	names := sortedNames(totals)
	claims := make([]*claim, 0, len(totals))
	for _, name := range names {
		claims = append(claims, &totals[name].claim)
	}
	left = divide(slots, claims)
	boosts := n.credits.boosts(slots, totals)
	if len(boosts) == 0 {
		return left
	}
	claims = claims[:0]
	rest := 0
	for _, name := range names {
		s := totals[name]
		switch boost := boosts[name]; {
		case boost > 0:
			s.share += boost
			s.boosted = true
			s.limited = s.share < s.want
			rest -= boost
		case s.limited:
			claims = append(claims, &s.claim)
			rest += s.share
		}
	}
	divide(rest, claims)
	return left
}

// squeeze takes the reserve out of the shares of the limited teams that do not
// draw on credit.
func squeeze(reserve int, totals map[string]*total) {
	var claims []*claim
	have := 0
	for _, name := range sortedNames(totals) {
		if s := totals[name]; s.limited && !s.boosted {
			claims = append(claims, &s.claim)
			have += s.share
		}
	}
	if reserve > 0 && len(claims) > 0 {
		divide(have-reserve, claims)
	}
}

// grow divides spare slots by weight among the teams that are not limited, as
// room until the next report.
func grow(spare int, totals map[string]*total) {
	weight := 0.0
	for _, s := range totals {
		if !s.limited {
			weight += s.Weight
		}
	}
	for _, s := range totals {
		if !s.limited {
			s.share += max(int(float64(spare)*s.Weight/weight), 1)
		}
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (n *Node) unseenSlots() int {
	if len(n.unseen) < unseenSamples {
		return 0
	}
	least := n.unseen[0]
	for _, u := range n.unseen {
		least = min(least, u)
	}
	return least
}
