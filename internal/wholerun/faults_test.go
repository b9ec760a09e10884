package wholerun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// fault is a fault that a run can inject. The result of inject, if not nil, ends it.
type fault struct {
	name         string
	blocksConfig bool // hosts may be cut off from the configuration during the fault
	weight       int  // relative probability
	inject       func(sim *simulation) (end func())
}

var faults = []fault{
	{"API down for one host", true, 1, func(sim *simulation) func() {
		return sim.injectAPIFaults(sim.someHosts(1), objectapi.Faults{Down: true})
	}},
	{"API down", true, 1, func(sim *simulation) func() { return sim.injectAPIFaults(sim.upHosts(), objectapi.Faults{Down: true}) }},
	{"API slow", true, 1, func(sim *simulation) func() {
		return sim.injectAPIFaults(sim.upHosts(), objectapi.Faults{Delay: time.Duration(sim.rng.Int64N(int64(800 * time.Millisecond)))})
	}},
	{"API loses responses", true, 1, func(sim *simulation) func() {
		return sim.injectAPIFaults(sim.upHosts(), objectapi.Faults{LoseResponses: true})
	}},
	{"watches deliver nothing", true, 1, func(sim *simulation) func() {
		return sim.injectAPIFaults(sim.someHosts(2), objectapi.Faults{SilentWatches: true})
	}},
	{"watches broken", false, 1, func(sim *simulation) func() { sim.store.BreakWatches(); return nil }},
	{"history expired", false, 1, func(sim *simulation) func() { sim.store.Expire(); sim.store.BreakWatches(); return nil }},
	{"peer calls lossy", true, 1, func(sim *simulation) func() {
		sim.peers.SetFaults(peertest.Faults{LoseCall: 0.1, LoseReply: 0.1, Duplicate: 0.2, MaxDelay: 30 * time.Millisecond})
		return func() { sim.peers.SetFaults(healthyPeers) }
	}},
	{"two peers disconnected", true, 1, func(sim *simulation) func() {
		a, b := sim.rng.IntN(hostCount), sim.rng.IntN(hostCount)
		sim.peers.SetBlocked(hostName(a), hostName(b), true)
		return func() { sim.peers.SetBlocked(hostName(a), hostName(b), false) }
	}},
	{"host crashes", true, 2, crashHost},
	{"host isolated", true, 2, isolateHost},
	{"host stops", true, 2, stopHost},
	{"connections carry nothing", false, 1, func(sim *simulation) func() {
		sim.targets.forEachConn("", sim.someTarget(), func(c *faultConn) { c.setSilent() })
		return nil
	}},
	{"connections broken", false, 1, func(sim *simulation) func() {
		sim.targets.forEachConn("", sim.someTarget(), closeConn)
		return nil
	}},
	{"target refuses connections", false, 1, func(sim *simulation) func() {
		name := sim.someTarget()
		sim.targets.setRefuse(name, true)
		return func() { sim.targets.setRefuse(name, false) }
	}},
	{"target misbehaves", false, 2, func(sim *simulation) func() {
		f := sim.faulty[sim.someTarget()]
		f.setRates(faultRates{dropBefore: 0.15, dropAfter: 0.15, earlierResponse: 0.4, delay: 0.3, maxDelay: 4 * time.Second})
		return func() { f.setRates(faultRates{}) }
	}},
	{"engine restarts", false, 1, func(sim *simulation) func() { sim.faulty[sim.someEngine()].restart(); return nil }},
	{"engine control interface silent", false, 1, func(sim *simulation) func() {
		e := sim.engines[sim.someEngine()]
		e.SetSilent(true)
		return func() { e.SetSilent(false) }
	}},
	{"weight store slow", false, 1, func(sim *simulation) func() {
		sim.weights.SetSlowdown(4)
		return func() { sim.weights.SetSlowdown(1) }
	}},
	{"engine marked as leaving", false, 1, func(sim *simulation) func() {
		name := sim.someEngine()
		if sim.leaving[name] {
			return nil
		}
		sim.leaving[name] = true
		sim.setLeaving(name, true)
		return func() {
			sim.setLeaving(name, false)
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.leaving[name] = false
		}
	}},
}

// healthyPeers is the network between hosts without faults.
var healthyPeers = peertest.Faults{MaxDelay: time.Millisecond}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func (sim *simulation) someEngine() string { return sim.engineNames[sim.rng.IntN(engineCount)] }

func (sim *simulation) someTarget() string {
	names := append(append([]string{}, sim.engineNames...), "billing-0", "billing-1", "tariffs-0")
	return names[sim.rng.IntN(len(names))]
}

// someHosts returns up to n of the hosts that are up and not stopping.
func (sim *simulation) someHosts(n int) []*host {
	var out []*host
	for _, h := range sim.upHosts() {
		if !h.stopping.Load() {
			out = append(out, h)
		}
	}
	sim.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (sim *simulation) injectAPIFaults(hosts []*host, f objectapi.Faults) func() {
	for _, h := range hosts {
		h.apiFaults.Store(&f)
	}
	return func() {
		for _, h := range hosts {
			h.apiFaults.Store(&objectapi.Faults{})
		}
	}
}

// minHostsUp is the number of hosts that faults leave running.
const minHostsUp = 3

// pickHostToStop picks a host to crash or stop. It returns nil if too few hosts would
// stay up.
func (sim *simulation) pickHostToStop() *host {
	hosts := sim.someHosts(hostCount)
	if len(hosts) <= minHostsUp {
		return nil
	}
	hosts[0].stopping.Store(true)
	return hosts[0]
}

// crashHost crashes a host. It is started again at the end of the fault.
func crashHost(sim *simulation) func() {
	h := sim.pickHostToStop()
	if h == nil {
		return nil
	}
	h.crashed.Store(true)
	h.cancel()
	sim.removeHost(h)
	return func() { sim.startHost(h.index) }
}

// isolateHost cuts a host off from its peers and the API. It goes on serving.
func isolateHost(sim *simulation) func() {
	hosts := sim.someHosts(1)
	if len(hosts) == 0 {
		return nil
	}
	h := hosts[0]
	h.cutOff.Store(true)
	h.peer.SetDown(true)
	return func() {
		if !h.dead.Load() {
			h.cutOff.Store(false)
			h.peer.SetDown(false)
		}
	}
}

// stopHost shuts a host down gracefully. It is started again at the end of the fault.
func stopHost(sim *simulation) func() {
	h := sim.pickHostToStop()
	if h == nil {
		return nil
	}
	stopped := make(chan struct{})
	sim.wait.Go(func() {
		defer close(stopped)
		sim.shutDown(h)
	})
	return func() {
		<-stopped
		sim.startHost(h.index)
	}
}

// shutDown does what app.App does at a graceful shutdown.
func (sim *simulation) shutDown(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(requestSettings.DrainMS)*time.Millisecond)
	defer cancel()
	h.view.Leave()
	time.Sleep(time.Duration(requestSettings.HostListTTLMS) * time.Millisecond)
	sim.removeHost(h)
	if left := h.core.Shutdown(ctx); left > 0 {
		sim.fail("%s: %d requests left on %s", invariant.ShutdownGraceful, left, h.name)
	}
	h.cancel()
}

// injectFaults injects random faults, several at once, until ctx ends. It returns
// when all faults have ended.
func (sim *simulation) injectFaults(ctx context.Context) {
	var ends sync.WaitGroup
	for ctx.Err() == nil {
		f := sim.drawFault()
		duration := time.Duration(200+sim.rng.IntN(5000)) * time.Millisecond
		if chance(sim.rng, 0.2) {
			duration *= 3 // longer than hosts accept requests on an old configuration
		}
		sim.startFault(f, duration, &ends)
		if chance(sim.rng, 0.2) {
			sim.startFault(f, duration/2, &ends) // the same fault twice
		}
		time.Sleep(time.Duration(sim.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	ends.Wait()
}

func (sim *simulation) drawFault() fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	draw := sim.rng.IntN(sum)
	for _, f := range faults {
		if draw -= f.weight; draw < 0 {
			return f
		}
	}
	return faults[0] // unreachable: the weights add up to sum
}

func (sim *simulation) startFault(f fault, duration time.Duration, ends *sync.WaitGroup) {
	sim.log.WithField("fault", f.name).WithField("life", duration.String()).Info("fault begins")
	end := f.inject(sim)
	sim.faultHistory = append(sim.faultHistory, fmt.Sprintf("%v %s for %v", time.Since(sim.start), f.name, duration))
	if f.blocksConfig {
		sim.mu.Lock()
		// The effects last until watches and membership have recovered.
		sim.configOutages = append(sim.configOutages, period{from: time.Now(), until: time.Now().Add(duration + recoveryTime)})
		sim.mu.Unlock()
	}
	if end == nil {
		return
	}
	ends.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// recoveryTime is the time that hosts may take to recover membership and watches.
const recoveryTime = 10 * time.Second

// changeConfig makes random changes to keys and rates until ctx ends, each with a new
// marker.
func (sim *simulation) changeConfig(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 50))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * time.Second)))):
		}
		team := rng.IntN(teamCount)
		sim.putMarker(n)
		sim.lastMarker = int64(n)
		switch rng.IntN(4) {
		case 0:
			sim.addKey(team, fmt.Sprintf("secret-%d-%d-%d", seed, team, n))
		case 1, 2:
			sim.mu.Lock()
			keys := sim.keys[team]
			k := keys[len(keys)-1]
			sim.mu.Unlock()
			if len(keys) > 1 && k.withdrawn.IsZero() {
				sim.withdrawKey(k)
			}
		case 3:
			rate := teamRate[team]/2 + rng.IntN(teamRate[team])
			sim.maxRate[team] = max(sim.maxRate[team], float64(rate))
			sim.submitTeam(team, rate, teamBurst[team])
		}
	}
}
