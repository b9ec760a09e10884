package fair

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestDivideIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 300).Draw(t, "slots")
		var claims []*claim
		for range rapid.IntRange(1, 8).Draw(t, "teams") {
			claims = append(claims, &claim{weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"), want: rapid.IntRange(0, 200).Draw(t, "want")})
		}
		left := divide(slots, claims)
		sum, unmet := left, false
		for _, c := range claims {
			sum += c.share
			unmet = unmet || c.share < c.want
			if c.share > c.want || c.share < 0 || !c.limited && c.share != c.want {
				t.Fatalf("%+v", *c)
			}
		}
		if sum != slots || unmet && left > 0 {
			t.Fatalf("%d given of %d, %d left, unmet %v", sum-left, slots, left, unmet)
		}
		for _, c := range claims {
			for _, o := range claims {
				// Rounding may shift a share by one slot either way.
				if c.share < c.want && float64(o.share-1)/o.weight > float64(c.share+1)/c.weight {
					t.Fatalf("%+v gets less for its weight than %+v", *c, *o)
				}
			}
		}
	})
}

// TestRootStarvesNobody divides slots among random demands with random credit.
// Each team must get what it wants up to about half of its share by weight,
// whatever the credit of the others, and a team within its share all it wants.
func TestRootStarvesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := NewNode()
		slots := rapid.IntRange(1, 300).Draw(t, "slots")
		n.SetRoot(0, Targets{Slots: []int{slots}}, -1)
		d := Demand{Seq: 1}
		weight := 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
			td := TeamDemand{
				Team:    fmt.Sprint(i),
				Weight:  rapid.Float64Range(0.2, 5).Draw(t, "weight"),
				Running: rapid.IntRange(0, 100).Draw(t, "running"),
				Waiting: rapid.IntRange(0, 300).Draw(t, "waiting"),
			}
			weight += td.Weight
			d.Teams = append(d.Teams, td)
		}
		n.RecordDemand(0, "h", d)
		n.credits.byTeam = map[string]float64{}
		for _, td := range d.Teams {
			n.credits.byTeam[td.Team] = rapid.Float64Range(0, 1000).Draw(t, "credit")
		}
		totals := n.totals()
		n.computeShares(0, totals)
		given := 0
		for _, td := range d.Teams {
			s := totals[td.Team]
			fair := float64(slots) * td.Weight / weight
			least := min(float64(s.want), fair/2-float64(slots)/reserveDivisor-1)
			if float64(s.want) <= fair-1 {
				least = float64(s.want)
			}
			if float64(s.share) < least {
				t.Fatalf("team %+v has %d of %d slots, its share is %v", td, s.share, slots, fair)
			}
			given += min(s.share, s.want)
		}
		if given > slots {
			t.Fatalf("%d slots given of %d", given, slots)
		}
	})
}

// TestRootExcludesSlotsOfUnreportedRequests checks that slots taken by requests
// that no host reports to the root are not given out, as soon as enough samples
// show these requests.
func TestRootExcludesSlotsOfUnreportedRequests(t *testing.T) {
	n := NewNode()
	targets := Targets{Slots: []int{100}}
	d := Demand{Seq: 1, Teams: []TeamDemand{{Team: "a", Weight: 1, Running: 20, Waiting: 200}}}
	window := func() int {
		d.Seq++
		n.RecordDemand(0, "h", d)
		g, _ := n.Grant(0, "h")
		return g.Teams[0].Window
	}
	for i := range unreportedSamples {
		n.SetRoot(0, targets, 20+30)
		if w := window(); i < unreportedSamples-1 && w != 100 {
			t.Fatalf("window %d after %d samples, want all 100", w, i+1)
		}
	}
	n.SetRoot(0, targets, 20+30)
	if w := window(); w != 70 {
		t.Fatalf("window %d, want 70 of 100 with 30 taken by unreported requests", w)
	}
	n.SetRoot(0, targets, 20)
	if w := window(); w != 100 {
		t.Fatalf("window %d after the unreported requests ended, want 100", w)
	}
}
