package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	refusalTime  = flag.Duration("quota.refusals", 150*time.Second, "simulated time of each run of the refusal tests")
	refusalSeeds = flag.Int("quota.refusalseeds", 4, "number of runs of each wrongful refusal measurement")
)

// arrival is a request of the measured team.
type arrival struct {
	at       time.Duration
	host     int
	reserved int64         // nanotokens reserved
	used     int64         // nanotokens charged at settlement
	hold     time.Duration // time until settlement
}

// outcome holds the decisions that one kind of limiter made on the arrivals.
type outcome struct{ granted []bool }

// wrongfulPercent returns the percentage of the arrivals in [from, to) that were refused although
// the ideal bucket granted them.
func (o outcome) wrongfulPercent(ideal outcome, arrivals []arrival, from, to time.Duration) float64 {
	wrong, all := 0, 0
	for i, a := range arrivals {
		if a.at >= from && a.at < to {
			all++
			wrong += count(ideal.granted[i] && !o.granted[i])
		}
	}
	return 100 * float64(wrong) / float64(max(all, 1))
}

// plainBucket is a simple token bucket, used as the ideal bucket and for each host of a static
// split.
type plainBucket struct {
	rate, burst, level float64
	last               time.Duration
	refunds            []refund
}

type refund struct {
	at     time.Duration
	amount float64
}

func (b *plainBucket) admit(a arrival) bool {
	for len(b.refunds) > 0 && b.refunds[0].at <= a.at {
		b.advance(b.refunds[0].at)
		b.level = min(b.burst, b.level+b.refunds[0].amount)
		b.refunds = b.refunds[1:]
	}
	b.advance(a.at)
	if b.level < float64(a.reserved) {
		return false
	}
	b.level -= float64(a.reserved)
	b.refunds = append(b.refunds, refund{a.at + a.hold, float64(a.reserved - a.used)})
	return true
}

func (b *plainBucket) advance(to time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(to-b.last).Seconds())
	b.last = to
}

func runStaticSplit(c limitConfig, hosts int, arrivals []arrival) outcome {
	buckets := make([]plainBucket, hosts)
	for i := range buckets {
		share := float64(c.burst*Nano) / float64(hosts)
		buckets[i] = plainBucket{rate: c.rate * Nano / float64(hosts), burst: share, level: share}
	}
	var o outcome
	for _, a := range arrivals {
		o.granted = append(o.granted, buckets[a.host%hosts].admit(a))
	}
	return o
}

// runCentralOwner has a single owner decide for all hosts. It dies at death, and a successor
// starts with an empty bucket when the lease has passed. A negative death means that it does not
// die.
func runCentralOwner(c limitConfig, arrivals []arrival, death, lease time.Duration) outcome {
	full := float64(c.burst * Nano)
	b := plainBucket{rate: c.rate * Nano, burst: full, level: full}
	var o outcome
	for _, a := range arrivals {
		down := death >= 0 && a.at >= death
		if down && a.at < death+lease {
			o.granted = append(o.granted, false)
			continue
		}
		if down && b.last < death+lease {
			b = plainBucket{rate: b.rate, burst: full, last: death + lease}
		}
		o.granted = append(o.granted, b.admit(a))
	}
	return o
}

// runFleet runs a simulated fleet on the arrivals. Kill, if not nil, is called at death.
func runFleet(seed uint64, c limitConfig, hosts int, arrivals []arrival, death time.Duration,
	kill func(sim *simulation)) outcome {
	const start = 2 * time.Second // leaves time for the first epoch to begin
	sim := newSimulation(seed, hosts, map[string]limitConfig{"team": c}, nil)
	o := outcome{granted: make([]bool, len(arrivals))}
	for i, a := range arrivals {
		sim.after(start+a.at, func() {
			n := sim.nodes[a.host]
			for !n.up {
				n = sim.nodes[(n.index+1)%hosts] // callers switch to another host
			}
			n.request("team", a.reserved, a.used, a.hold, func(granted bool) { o.granted[i] = granted })
		})
	}
	if kill != nil {
		sim.after(start+death, func() { kill(sim) })
	}
	sim.run(start + *refusalTime + 5*time.Second)
	return o
}

// poissonArrivals returns Poisson arrivals that use the given share of the rate on average.
func poissonArrivals(seed uint64, c limitConfig, share float64, reserved, used int64, hold time.Duration,
	host func(at time.Duration, rng *rand.Rand) int) []arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	mean := float64(used) / Nano / (c.rate * share)
	var arrivals []arrival
	for at := 0.0; at < refusalTime.Seconds(); at += rng.ExpFloat64() * mean {
		t := time.Duration(at * float64(time.Second))
		arrivals = append(arrivals, arrival{at: t, host: host(t, rng), reserved: reserved, used: used, hold: hold})
	}
	return arrivals
}

const hostsMeasured = 8

var arrivalPatterns = []struct {
	name string
	host func(at time.Duration, rng *rand.Rand) int
}{
	{"the home", func(time.Duration, *rand.Rand) int { return 3 }},
	{"one other host", func(time.Duration, *rand.Rand) int { return 5 }},
	{"all hosts", func(_ time.Duration, rng *rand.Rand) int { return rng.IntN(hostsMeasured) }},
	{"changing host", func(at time.Duration, _ *rand.Rand) int { return int(at/time.Second) * 5 % hostsMeasured }},
}

// totals adds up the decisions of several runs. The last three count wrongful refusals by this
// package, by a static split and by a central owner.
type totals struct{ requests, refused, ideal, wrongful, split, central int }

func (t *totals) add(c limitConfig, arrivals []arrival, ours outcome) {
	ideal := runStaticSplit(c, 1, arrivals)
	static := runStaticSplit(c, hostsMeasured, arrivals)
	central := runCentralOwner(c, arrivals, -1, 0)
	for i := range arrivals {
		t.requests++
		t.refused += count(!ours.granted[i])
		t.ideal += count(!ideal.granted[i])
		t.wrongful += count(ideal.granted[i] && !ours.granted[i])
		t.split += count(ideal.granted[i] && !static.granted[i])
		t.central += count(ideal.granted[i] && !central.granted[i])
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (t *totals) percent(n int) float64 { return 100 * float64(n) / float64(t.requests) }

// TestWrongfulRefusals compares a fleet with one ideal bucket on the same arrivals. At most one in
// a thousand requests may be refused that the ideal bucket grants.
func TestWrongfulRefusals(t *testing.T) {
	const maxPercent = 0.1 // of all requests
	for _, c := range []struct {
		name  string
		limit limitConfig
		est   int64
		hold  time.Duration
	}{
		{"burst of 10s", limitConfig{1000, 10000}, 100 * Nano, 0},
		{"burst of 1s", limitConfig{1000, 1000}, 100 * Nano, 0},
		{"burst of two requests", limitConfig{1000, 200}, 100 * Nano, 0},
		{"estimate twice the use", limitConfig{1000, 10000}, 200 * Nano, 2 * time.Second},
	} {
		for _, pattern := range arrivalPatterns {
			var sum totals
			for seed := range uint64(*refusalSeeds) {
				arrivals := poissonArrivals(seed+1, c.limit, 0.95, c.est, 100*Nano, c.hold, pattern.host)
				sum.add(c.limit, arrivals, runFleet(seed+1, c.limit, hostsMeasured, arrivals, 0, nil))
			}
			t.Logf("%-23s %-14s requests %6d refused %5d (ideal %5d) wrongful %.3f%% static split %.3f%% central owner %.3f%%",
				c.name, pattern.name, sum.requests, sum.refused, sum.ideal,
				sum.percent(sum.wrongful), sum.percent(sum.split), sum.percent(sum.central))
			if got := sum.percent(sum.wrongful); got > maxPercent {
				t.Errorf("%s by %s: %.3f%% wrongful refusals, want at most %.1f%%", c.name, pattern.name, got, maxPercent)
			}
		}
	}
}

// TestDeadHost measures the wrongful refusals that the death of one host causes in the 10 s in
// which the platform still lists it and in the 10 s after that. It sets no limit on them.
func TestDeadHost(t *testing.T) {
	const death, lag, lease = 20 * time.Second, 10 * time.Second, 5 * time.Second
	c := limitConfig{1000, 10000}
	for _, crashed := range []struct {
		name string
		kill func(sim *simulation)
	}{
		{"home", func(sim *simulation) { sim.byName(sim.ledger.Limits["team"].Home.Name).crash(lag) }},
		{"one other host", func(sim *simulation) { sim.nodes[5].crash(lag) }},
	} {
		for _, pattern := range arrivalPatterns {
			arrivals := poissonArrivals(1, c, 0.95, 100*Nano, 100*Nano, 0, pattern.host)
			ideal := runStaticSplit(c, 1, arrivals)
			ours := runFleet(1, c, hostsMeasured, arrivals, death, crashed.kill)
			during := ours.wrongfulPercent(ideal, arrivals, death, death+lag)
			after := ours.wrongfulPercent(ideal, arrivals, death+lag, death+2*lag)
			central := runCentralOwner(c, arrivals, death, lease).wrongfulPercent(ideal, arrivals, death, death+lag)
			t.Logf("%-14s dead, requests through %-14s wrongful while listed %.1f%%, in the 10s after %.1f%%; central owner dead, lease %v: %.1f%%",
				crashed.name, pattern.name, during, after, lease, central)
		}
	}
}

// TestFloodDoesNotAffectOtherTeams sends one team ten times its rate and checks that no other team
// is refused.
func TestFloodDoesNotAffectOtherTeams(t *testing.T) {
	limits := map[string]limitConfig{"flood": {1000, 2000}}
	for i := range 5 {
		limits[fmt.Sprint("small", i)] = limitConfig{200, 2000}
	}
	sim := newSimulation(1, hostsMeasured, limits, nil)
	refused := map[string]int{}
	for name, c := range limits {
		share := 0.5
		if name == "flood" {
			share = 10
		}
		for _, a := range poissonArrivals(7, c, share, 20*Nano, 20*Nano, 0, arrivalPatterns[2].host) {
			sim.after(2*time.Second+a.at, func() {
				sim.nodes[a.host].request(name, a.reserved, a.used, 0, func(granted bool) {
					if !granted {
						refused[name]++
					}
				})
			})
		}
	}
	sim.run(*refusalTime + 10*time.Second)
	if refused["flood"] == 0 {
		t.Error("the flood was not limited")
	}
	for name, n := range refused {
		if name != "flood" {
			t.Errorf("%d requests of %s refused", n, name)
		}
	}
}

func (sim *simulation) byName(name string) *node {
	for _, n := range sim.nodes {
		if n.id.Name == name {
			return n
		}
	}
	return nil
}
