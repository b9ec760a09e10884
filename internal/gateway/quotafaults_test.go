package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/targetreach"
)

// reportingFleet is a fleet whose hosts count a team's use by their real reports to the coordinator,
// over a network in memory.
type reportingFleet struct {
	t       *testing.T
	start   time.Time
	network *peertest.Network
	random  *rand.Rand
	team    *fleet.Team
	hosts   []*reportingHost
	hostsMu sync.Mutex // for changes of hosts and their kill, and for goroutines that read them
	known   map[string]fleet.Host
	granted []grant
	asked   int
	refused int
	onStart func(f *reportingFleet, h *reportingHost) // called before the tasks of a host start, if set
}

type reportingHost struct {
	net       *peertest.Host
	quotas    *Quotas
	parts     *coordinator.PartFailures
	gateway   *Gateway             // nil unless set by onStart
	reach     *targetreach.Monitor // nil unless set by onStart
	client    *coordinator.Client
	view      *coordinator.FleetView
	startedAt time.Duration
	kill      context.CancelFunc // ends the process; nil while there is none
}

func (f *reportingFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

func newReportingFleet(t *testing.T, hosts int, seed uint64) *reportingFleet {
	return startReportingFleet(t, hosts, seed, nil)
}

// startReportingFleet is newReportingFleet with an onStart.
func startReportingFleet(t *testing.T, hosts int, seed uint64, onStart func(f *reportingFleet, h *reportingHost)) *reportingFleet {
	f := &reportingFleet{
		onStart: onStart,
		t:       t, start: time.Now(), network: peertest.New(seed), random: rand.New(rand.NewPCG(seed, 4)), known: map[string]fleet.Host{},
		team:  &fleet.Team{Name: "t", Rate: 62_000, Burst: 69_000, ByTokens: true},
		hosts: make([]*reportingHost, hosts),
	}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		f.known[name] = fleet.Host{Name: name, Zone: "z", RelayAddress: name, Weight: 0.4, CreateRevision: uint64(i + 1)}
	}
	for i := range hosts {
		f.startHost(i)
	}
	t.Cleanup(func() {
		for i := range f.hosts {
			f.killHost(i)
		}
		time.Sleep(5 * time.Second) // until the calls in progress have ended
	})
	return f
}

// startHost starts the process of a host.
func (f *reportingFleet) startHost(i int) {
	name := fmt.Sprint("h", i)
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := f.known[name]
	self.Incarnation = fmt.Sprint(name, "-", f.now())
	view := coordinator.NewFleetView("z", f.now)
	view.SetHosts(maps.Clone(f.known))
	h := &reportingHost{view: view, net: f.network.Add(peer.Member{ID: peer.ID{Name: name, Incarnation: self.Incarnation}}), startedAt: f.now()}
	owner := coordinator.NewOwner(name, name, coordinator.NewLease(coordinator.LeaseOptions{Holder: name, Store: nil, Eras: &platform.Eras{}, Now: f.now, Log: log}), view, nil, testBounds(), f.now, log)
	freshness := func() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets]) {
		return fleet.Dated[*fleet.Config]{Copy: view.Config(), CurrentAt: f.now()}, fleet.Dated[*fleet.Targets]{Copy: view.Targets(), CurrentAt: f.now()}
	}
	h.parts = coordinator.NewPartFailures(name, view.Hosts, f.now, log)
	coord := coordinator.NewCoordinator(name, view, h.net, h.parts, freshness, false, f.now, log)
	var client *coordinator.Client
	h.quotas = NewQuotas(testBounds(), func() HostCount {
		together, lately := client.CountedTogether()
		return HostCount{All: len(f.hosts), Together: together, Lately: lately}
	}, f.now, rand.New(rand.NewPCG(f.random.Uint64(), 5)).Float64)
	client = coordinator.NewClient(coordinator.ClientOptions{
		Self: self, FleetView: view, Owner: owner, Coordinator: coord, Calls: h.net, Parts: h.parts, LocalUse: h.quotas.LocalUse,
		SetRemoteUse: func(epoch uint64, use, balances map[string]float64) {
			h.quotas.SetRemoteUse([]fleet.Team{*f.team}, epoch, use, balances)
		},
		CutOff: func() bool {
			if h.reach == nil {
				return false
			}
			_, cutOff := h.reach.CutOff()
			return cutOff
		},
		Now: f.now, Log: log,
	})
	h.client = client
	if f.onStart != nil {
		f.onStart(f, h)
	}
	coord.ShareBalances(h.quotas.Balances)
	coord.Register(h.net)
	client.Register(h.net)
	ctx, cancel := context.WithCancel(context.Background())
	f.hostsMu.Lock()
	h.kill = cancel
	f.hosts[i] = h
	f.hostsMu.Unlock()
	if h.reach != nil {
		go func() { _ = h.reach.Run(ctx) }()
	}
	go func() { _ = coord.Run(ctx) }()
	go func() { _ = client.Run(ctx) }()
	go func() { _ = client.RunProbes(ctx) }()
}

// running returns the running host of a name, or nil. It may be called by any goroutine.
func (f *reportingFleet) running(name string) *reportingHost {
	f.hostsMu.Lock()
	defer f.hostsMu.Unlock()
	for _, h := range f.hosts {
		if h != nil && h.kill != nil && h.net.Self().ID.Name == name {
			return h
		}
	}
	return nil
}

func (f *reportingFleet) killHost(i int) {
	if h := f.hosts[i]; h.kill != nil {
		h.kill()
		f.hostsMu.Lock()
		h.kill = nil
		f.hostsMu.Unlock()
		h.net.SetDown(true)
	}
}

// run sends requests at random hosts for a duration, at a multiple of the team's rate. Hosts that have
// just started hold them back until they have reported.
func (f *reportingFleet) run(d time.Duration, factor float64) {
	const step = 10 * time.Millisecond
	perStep := factor * f.team.Rate / meanTokens * step.Seconds()
	due := 0.0
	for end := f.now() + d; f.now() < end; time.Sleep(step) {
		for due += perStep; due >= 1; due-- {
			h := f.hosts[f.random.IntN(len(f.hosts))]
			if h.kill == nil || h.quotas.Isolated() && f.now() < h.startedAt+startupWait {
				continue
			}
			n := meanTokens
			h.quotas.CountAsked(f.team, n)
			f.asked++
			if _, ok := h.quotas.Take(f.team, n); ok {
				f.granted = append(f.granted, grant{f.now(), n})
			} else {
				f.refused++
			}
		}
	}
}

// leave begins the planned stop of all hosts.
func (f *reportingFleet) leave() {
	for name, host := range f.known {
		host.Leaving = true
		f.known[name] = host
	}
	for _, h := range f.hosts {
		h.view.SetHosts(maps.Clone(f.known))
		h.client.Leave()
	}
}

// returned tells all hosts that the planned stop of one of them has ended.
func (f *reportingFleet) returned(i int) {
	name := fmt.Sprint("h", i)
	host := f.known[name]
	host.Leaving = false
	f.known[name] = host
	for _, h := range f.hosts {
		h.view.SetHosts(maps.Clone(f.known))
	}
}

// grantedSince returns the tokens granted since a time.
func (f *reportingFleet) grantedSince(from time.Duration) float64 {
	sum := 0.0
	for _, g := range f.granted {
		if g.at >= from {
			sum += g.n
		}
	}
	return sum
}

// checkLimit fails the test if more was granted in a quota window than is allowed.
func (f *reportingFleet) checkLimit() {
	f.t.Helper()
	b := testBounds()
	limit := (f.team.Rate*b.QuotaWindow.Seconds()+f.team.Burst)*(1+b.QuotaOverage) + b.QuotaSlack
	got := (&quotaFleet{granted: f.granted}).mostInWindow(b.QuotaWindow)
	f.t.Logf("%.0f tokens granted in %v, %.2f of the limit", got, b.QuotaWindow, got/limit)
	if got > limit {
		f.t.Errorf("%.0f tokens granted in %v, more than %.0f", got, b.QuotaWindow, limit)
	}
}

// hotFactor is how many times its rate a hot team asks for.
const hotFactor = 10

// testHotTeam plays faults on fleets of eight hosts while a team asks for hotFactor times its rate.
func testHotTeam(t *testing.T, faults func(f *reportingFleet, seed uint64)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newReportingFleet(t, 8, seed)
				f.run(5*time.Second, 1)
				f.run(8*time.Second, hotFactor)
				faults(f, seed)
				f.run(8*time.Second, hotFactor)
				f.checkLimit()
			})
		})
	}
}

// TestHotTeamWithoutFaults shows that the limit holds, and is used, where no host fails.
func TestHotTeamWithoutFaults(t *testing.T) {
	testHotTeam(t, func(f *reportingFleet, _ uint64) {
		if granted := f.grantedSince(f.now() - 8*time.Second); granted < 0.95*8*f.team.Rate {
			f.t.Errorf("%.0f tokens granted in 8 s, want 0.95 of the rate at least", granted)
		}
	})
}

// TestHotTeamWhileHostsRestartInTurn guards against restarted hosts granting anew what a team had overdrawn before.
func TestHotTeamWhileHostsRestartInTurn(t *testing.T) {
	testHotTeam(t, func(f *reportingFleet, seed uint64) {
		for i := range f.hosts {
			f.killHost(i)
			f.run(400*time.Millisecond, hotFactor)
			f.startHost(i)
			f.run(time.Duration(seed+1)*300*time.Millisecond, hotFactor)
		}
	})
}

// TestHotTeamWhileCoordinatorsChange guards against hosts without and with another coordinator granting the whole rate each.
func TestHotTeamWhileCoordinatorsChange(t *testing.T) {
	testHotTeam(t, func(f *reportingFleet, seed uint64) {
		for i := range 5 { // the coordinator is the first host that replies
			f.hosts[i].net.SetDown(true)
			f.run(time.Duration(1200+300*seed)*time.Millisecond, hotFactor)
		}
		for i := range 5 {
			f.hosts[i].net.SetDown(false)
		}
	})
}

// TestHotTeamWhileHostsFallSilent guards against hosts that are cut off granting the whole rate, and again when they are back.
func TestHotTeamWhileHostsFallSilent(t *testing.T) {
	testHotTeam(t, func(f *reportingFleet, _ uint64) {
		for range 8 {
			for i := 1; i < len(f.hosts); i++ {
				f.hosts[i].net.SetDown(f.random.IntN(2) == 0)
			}
			f.run(1500*time.Millisecond, hotFactor)
			for i := 1; i < len(f.hosts); i++ {
				f.hosts[i].net.SetDown(false)
			}
			f.run(500*time.Millisecond, hotFactor)
		}
	})
}

// TestHotTeamWhileAllHostsStop guards against stopping hosts, which change the coordinator often, granting the whole rate each.
func TestHotTeamWhileAllHostsStop(t *testing.T) {
	testHotTeam(t, func(f *reportingFleet, seed uint64) {
		f.leave()
		f.run(time.Duration(seed+1)*time.Second, hotFactor)
		for i := range f.hosts {
			f.killHost(i)
			f.run(200*time.Millisecond, hotFactor)
			f.returned(i)
			f.startHost(i)
			f.run(200*time.Millisecond, hotFactor)
		}
	})
}

// TestTeamWithinItsRateWhileHostsFail guards against a team at 0.8 of its rate being refused while hosts fail.
func TestTeamWithinItsRateWhileHostsFail(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			f := newReportingFleet(t, 8, seed)
			f.run(5*time.Second, 0.8)
			f.asked, f.refused = 0, 0
			for i := range f.hosts {
				f.killHost(i)
				f.run(500*time.Millisecond, 0.8)
				f.startHost(i)
				f.run(time.Second, 0.8)
				f.hosts[(i+3)%8].net.SetDown(true)
				f.run(1500*time.Millisecond, 0.8)
				f.hosts[(i+3)%8].net.SetDown(false)
				f.run(time.Second, 0.8)
			}
			share := float64(f.refused) / float64(f.asked)
			t.Logf("seed %d: %.4f of %d requests refused", seed, share, f.asked)
			if share > mostRefused {
				t.Errorf("seed %d: %.4f of the requests refused within the rate, want %v at most", seed, share, mostRefused)
			}
		})
	}
}
