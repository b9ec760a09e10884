package fair

import (
	"math"
	"sort"
	"time"
)

// computeShares sets the share of each team: the number of its requests that
// may run below this node.
func (n *Node) computeShares(now time.Duration, totals map[string]*teamTotal) {
	if !n.root {
		for name, total := range totals {
			w, listed := n.parentWindows[name]
			total.share, total.limited = w.Window, w.Limited
			if !listed {
				total.share = total.Running
			}
		}
		return
	}
	slots := max(n.slots-n.unreportedSlots(), 0)
	n.credits.advance(now, slots, totals)
	spare := n.divideRoot(slots, totals)
	reserve := n.reserve(slots, totals)
	deductReserve(reserve, totals)
	distributeSpare(spare+reserve, totals)
}

// reserve returns the number of slots to keep free in a contended pool. It
// covers the usual growth, between two reports, of the demand of the teams
// within their shares. It follows the square root of that demand, as the
// standard deviation of random arrivals does.
func (n *Node) reserve(slots int, totals map[string]*teamTotal) int {
	contended, within := false, 0
	for _, total := range totals {
		contended = contended || total.limited
		if !total.limited {
			within += total.want
		}
	}
	if !contended || len(n.lastDemand) < 2 {
		return 0
	}
	return min(slots/reserveDivisor, 2+int(math.Ceil(math.Sqrt(float64(within)))))
}

// divideRoot divides slots by weighted max-min fairness. It then gives teams
// with credit more than their shares, at the expense of the other limited
// teams. It returns the slots that no team wants.
func (n *Node) divideRoot(slots int, totals map[string]*teamTotal) (left int) {
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
		total := totals[name]
		switch boost := boosts[name]; {
		case boost > 0:
			total.share += boost
			total.boosted = true
			total.limited = total.share < total.want
			rest -= boost
		case total.limited:
			claims = append(claims, &total.claim)
			rest += total.share
		}
	}
	divide(rest, claims)
	return left
}

// deductReserve deducts the reserve from the shares of the limited teams that
// are not boosted by credit.
func deductReserve(reserve int, totals map[string]*teamTotal) {
	var claims []*claim
	have := 0
	for _, name := range sortedNames(totals) {
		if total := totals[name]; total.limited && !total.boosted {
			claims = append(claims, &total.claim)
			have += total.share
		}
	}
	if reserve > 0 && len(claims) > 0 {
		divide(have-reserve, claims)
	}
}

// distributeSpare divides spare slots by weight among the teams that are not
// limited, so that their demand may grow until the next report. Each gets at
// least one.
func distributeSpare(spare int, totals map[string]*teamTotal) {
	weight := 0.0
	for _, total := range totals {
		if !total.limited {
			weight += total.Weight
		}
	}
	for _, total := range totals {
		if !total.limited {
			total.share += max(int(float64(spare)*total.Weight/weight), 1)
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

func (n *Node) unreportedSlots() int {
	// With too few samples, none counts yet.
	if len(n.unreported) < unreportedSamples {
		return 0
	}
	least := n.unreported[0]
	for _, u := range n.unreported {
		least = min(least, u)
	}
	return least
}
