package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSettlementKeepsBound charges an ideal bucket the final cost of each reservation at the time
// of the reservation. The ideal bucket must never run below zero.
func TestSettlementKeepsBound(t *testing.T) {
	const burst, rate = 1000 * Nano, 100 * Nano
	type reservation struct {
		at           time.Duration
		amount, used int64
		mark         Mark
		open         bool
	}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := bucket{rate: rate, cap: burst, tokens: burst}
		var all []reservation
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
			if r := rng.IntN(2); r == 0 || len(all) == 0 {
				amount := 1 + rng.Int64N(200*Nano)
				b.accrue(now)
				if amount <= b.tokens {
					all = append(all, reservation{at: now, amount: amount, used: amount, mark: b.take(amount), open: true})
				}
				continue
			}
			r := &all[len(all)-1-rng.IntN(min(len(all), 30))]
			if r.open {
				r.open = false
				r.used = rng.Int64N(r.amount + 1)
				b.accrueExact(now)
				b.settle(r.amount-r.used, r.mark)
			}
		}
		ideal := bucket{rate: rate, cap: burst, tokens: burst}
		for _, r := range all {
			ideal.accrueExact(r.at)
			ideal.tokens -= r.used
			if ideal.tokens < -1000 {
				t.Fatalf("seed %d: overspent by %d nanotokens at %v", seed, -ideal.tokens, r.at)
			}
		}
	}
}
