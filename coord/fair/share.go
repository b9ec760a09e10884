package fair

import (
	"math"
	"sort"
)

// claim is the demand of one team or flow in a division, and the share it gets.
type claim struct {
	weight  float64
	want    int
	share   int
	limited bool // wants more than it gets
}

// divide divides slots among claims by weighted max-min fairness: no claim gets
// more than it wants, and none that wants more gets less for its weight than
// another. Whole slots are assigned by the largest remainder method. Divide
// updates the claims in place and returns the slots that no claim wants.
func divide(slots int, claims []*claim) (left int) {
	order := append([]*claim(nil), claims...)
	sort.SliceStable(order, func(i, j int) bool {
		return float64(order[i].want)/order[i].weight < float64(order[j].want)/order[j].weight
	})
	weight := 0.0
	for _, c := range order {
		weight += c.weight
	}
	rest := max(slots, 0)
	for i, c := range order {
		if float64(rest)*c.weight/weight < float64(c.want) {
			divideProportionally(rest, order[i:])
			return 0
		}
		c.share, c.limited = c.want, false
		rest -= c.want
		weight -= c.weight
	}
	return rest
}

// divideProportionally divides slots by weight among claims that all want more.
func divideProportionally(slots int, claims []*claim) {
	weight := 0.0
	for _, c := range claims {
		weight += c.weight
	}
	given := 0
	remainder := make([]float64, len(claims))
	byRemainder := make([]int, len(claims))
	for i, c := range claims {
		exact := float64(slots) * c.weight / weight
		c.share = int(math.Floor(exact))
		c.limited = true
		given += c.share
		remainder[i] = exact - math.Floor(exact)
		byRemainder[i] = i
	}
	sort.SliceStable(byRemainder, func(a, b int) bool { return remainder[byRemainder[a]] > remainder[byRemainder[b]] })
	for _, i := range byRemainder {
		if given >= slots {
			return
		}
		claims[i].share++
		given++
	}
}
