package gateway

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// goneLimit is how long a host may have been gone that is named, by the users' rule: the contact time and 3 s.
const goneLimit = contactTime + 3*time.Second

// directoryFleet is a fleet whose hosts answer look-ups.
type directoryFleet struct {
	*reportingFleet
	regions map[string]string // by zone
	diedAt  map[string]time.Duration
	homes   []string // of the route of the name "homed"
	outside int      // addresses of hosts outside the homes and the caller's region, while others run
	named   int
}

func newDirectoryFleet(t *testing.T, hosts, regions int) *directoryFleet {
	d := &directoryFleet{regions: regionsOfZones(regions), diedAt: map[string]time.Duration{}, homes: []string{"r0"}}
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "a", Host: "homed", PathPrefix: "/a/", Homes: d.homes}, {Name: "b", Host: "homed", PathPrefix: "/b/"}, {Name: "c", Host: "free", PathPrefix: "/"}}}
	config.Index()
	d.reportingFleet = startReportingFleet(t, hosts, 1, func(f *reportingFleet, h *reportingHost) {
		f.placeHosts(h, d.regions)
		h.view.SetConfig(config)
	})
	return d
}

// regionsOfZones returns the regions of three zones, of which there are the given number.
func regionsOfZones(regions int) map[string]string {
	out := map[string]string{}
	for i := range 3 {
		out[fmt.Sprint("z", i)] = fmt.Sprint("r", i%regions)
	}
	return out
}

// placeHosts spreads the hosts over three zones, and tells a host of them.
func (f *reportingFleet) placeHosts(h *reportingHost, regions map[string]string) {
	for name, host := range f.known {
		if host.Zone != "z" {
			continue // set before; requests in progress read it
		}
		var i int
		_, _ = fmt.Sscanf(name, "h%d", &i)
		host.Zone, host.Address = fmt.Sprint("z", i%3), name
		f.known[name] = host
	}
	h.view.SetRegions(regions)
	h.view.SetHosts(maps.Clone(f.known))
}

// directoryOf returns the directory of host i.
func (d *directoryFleet) directoryOf(i int) *Directory {
	return &Directory{View: d.hosts[i].view, Client: d.hosts[i].client, Self: d.known[fmt.Sprint("h", i)], Contact: contactTime}
}

func (d *directoryFleet) kill(hosts ...int) {
	for _, i := range hosts {
		d.killHost(i)
		d.diedAt[fmt.Sprint("h", i)] = d.now()
	}
}

func (d *directoryFleet) restart(hosts ...int) {
	for _, i := range hosts {
		d.startHost(i)
		delete(d.diedAt, fmt.Sprint("h", i))
	}
}

// lookupsPerStep is the number of hosts, drawn at random, that look up addresses in each step of a large fleet.
const lookupsPerStep = 40

// play has hosts that run look up addresses every 200 ms, and checks them. The last host, which tests cut off, always does.
func (d *directoryFleet) play(span time.Duration) {
	d.t.Helper()
	for end := d.now() + span; d.now() < end; time.Sleep(200 * time.Millisecond) {
		for i, h := range d.hosts {
			if h.kill != nil && (i == len(d.hosts)-1 || d.random.IntN(len(d.hosts)) < lookupsPerStep) {
				d.check(i, fleet.Lookup{Name: []string{"homed", "free"}[d.random.IntN(2)], Region: fmt.Sprint("r", d.random.IntN(3)), Zone: fmt.Sprint("z", d.random.IntN(3))})
			}
		}
	}
}

func (d *directoryFleet) check(i int, q fleet.Lookup) {
	d.t.Helper()
	name := fmt.Sprint("h", i)
	directory := d.directoryOf(i)
	before := directory.staying()
	addresses := directory.Addresses(q)
	if len(addresses) == 0 {
		d.t.Fatalf("%s names nobody", name)
	}
	within := func(host string) bool {
		region := d.regions[d.known[host].Zone]
		return q.Name != "homed" || region == q.Region || slices.Contains(d.homes, region)
	}
	isWithin := func(h fleet.Host) bool { return within(h.Name) }
	anyWithin := slices.ContainsFunc(before, isWithin) && slices.ContainsFunc(directory.staying(), isWithin) // a list may arrive meanwhile
	for _, a := range addresses {
		if at, dead := d.diedAt[a]; dead && d.now()-at > goneLimit {
			d.t.Fatalf("%s names %s, which has been gone for %v", name, a, d.now()-at)
		}
		d.named++
		if anyWithin && !within(a) {
			d.outside++
		}
	}
}

// checkLive fails the test unless all hosts name at least the given share of those that run: up to maxAddresses.
func (d *directoryFleet) checkLive(share float64) {
	d.t.Helper()
	for i, h := range d.hosts {
		if h.kill == nil {
			continue
		}
		staying := d.directoryOf(i).staying()
		if running := len(d.hosts) - len(d.diedAt); float64(len(staying)) < share*float64(running) {
			d.t.Fatalf("h%d knows %d hosts that run, of %d", i, len(staying), running)
		}
	}
}

// mostNamed returns the largest share of callers that one host gets within a time, of that which it would get if they were spread
// evenly. Each host that runs is asked every 100 ms.
func (d *directoryFleet) mostNamed(span time.Duration) float64 {
	most := 0.0
	for end := d.now() + span; d.now() < end; time.Sleep(100 * time.Millisecond) {
		share := map[string]float64{}
		for i, h := range d.hosts {
			if h.kill == nil {
				continue
			}
			addresses := d.directoryOf(i).Addresses(fleet.Lookup{Name: "free"})
			for _, a := range addresses {
				share[a] += 1 / float64(len(addresses))
			}
		}
		for _, s := range share {
			most = max(most, s)
		}
	}
	return most
}

func upTo(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// TestDirectoryNamesNoHostThatIsGone plays restarts, cuts, hosts that hear nobody and a change of coordinators. It guards against
// addresses of hosts that are gone for longer than the rule allows, empty answers, and callers sent outside the homes. The
// control is that hosts name those that run.
func TestDirectoryNamesNoHostThatIsGone(t *testing.T) {
	for _, c := range []struct{ hosts, regions int }{{8, 1}, {8, 2}, {8, 3}, {70, 3}, {295, 2}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.regions, " regions"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDirectoryFleet(t, c.hosts, c.regions)
				d.play(3 * time.Second)
				d.checkLive(1)
				last, few := c.hosts-1, c.hosts/4
				d.hosts[last].net.SetDown(true) // it hears nobody from now on
				d.play(time.Second)
				d.kill(upTo(0, few)...) // with the coordinator
				d.play(10 * time.Second)
				d.hosts[last].net.SetDown(false)
				d.restart(upTo(few/2, few)...)
				d.play(5 * time.Second)
				d.checkLive(0.95)
				d.kill(upTo(few, c.hosts)...) // all of them restart, some do not come back, and all entries stay
				time.Sleep(goneLimit + time.Second)
				d.kill(upTo(few/2, few)...)
				d.restart(upTo(few, c.hosts)...)
				d.play(10 * time.Second)
				d.checkLive(0.95)
				if d.outside > 0 {
					t.Errorf("%d of %d addresses are outside the homes and the caller's region", d.outside, d.named)
				}
			})
		})
	}
}

// TestDirectoryOfSplitFleet guards against a part of a fleet that was cut off naming hosts of the other part that are gone.
func TestDirectoryOfSplitFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectoryFleet(t, 8, 2)
		d.play(3 * time.Second)
		for i := range 4 {
			for j := 4; j < 8; j++ {
				d.network.SetBlocked(fmt.Sprint("h", i), fmt.Sprint("h", j), true)
			}
		}
		d.play(time.Second)
		d.kill(1, 5)
		d.play(12 * time.Second)
		for i := range 4 {
			for j := 4; j < 8; j++ {
				d.network.SetBlocked(fmt.Sprint("h", i), fmt.Sprint("h", j), false)
			}
		}
		d.play(6 * time.Second)
		d.checkLive(1)
	})
}

// TestDirectoryAtTheEndOfAPlannedStopOfAll guards against the last hosts of a planned stop of all naming those that have left
// long before, by the marks on their entries.
func TestDirectoryAtTheEndOfAPlannedStopOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectoryFleet(t, 8, 2)
		d.play(3 * time.Second)
		d.leave()
		for i := range 7 {
			d.kill(7 - i)
			d.play(2 * time.Second)
		}
		d.play(8 * time.Second)
	})
}

// TestChangeOfCoordinatorsKeepsCallersSpread guards against callers who gather at the hosts that report first to a new coordinator, or to
// one that has restarted.
func TestChangeOfCoordinatorsKeepsCallersSpread(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		synctest.Test(t, func(t *testing.T) {
			d := newDirectoryFleet(t, hosts, 2)
			time.Sleep(3 * time.Second)
			d.kill(0)
			lost := d.mostNamed(2 * time.Second)
			time.Sleep(2 * time.Second)
			d.restart(0) // it becomes the coordinator again
			back := d.mostNamed(2 * time.Second)
			time.Sleep(2 * time.Second)
			d.kill(0)
			d.restart(0) // between two reports
			restarted := d.mostNamed(2 * time.Second)
			t.Logf("%d hosts: most named %.1f, %.1f and %.1f times as often as the mean", hosts, lost, back, restarted)
			if lost > 2 || max(back, restarted) > 3 { // a host that has just started names itself alone at first
				t.Errorf("%d hosts: one is named too often", hosts)
			}
		})
	}
}
