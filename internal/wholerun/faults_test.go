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
	inject       func(w *world) (end func())
}

var faults = []fault{
	{"API down for one host", true, 1, func(w *world) func() { return w.apiFault(w.someHosts(1), objectapi.Faults{Down: true}) }},
	{"API down", true, 1, func(w *world) func() { return w.apiFault(w.upHosts(), objectapi.Faults{Down: true}) }},
	{"API slow", true, 1, func(w *world) func() {
		return w.apiFault(w.upHosts(), objectapi.Faults{Delay: time.Duration(w.rng.Int64N(int64(800 * time.Millisecond)))})
	}},
	{"API loses answers", true, 1, func(w *world) func() { return w.apiFault(w.upHosts(), objectapi.Faults{LoseResponses: true}) }},
	{"watches deliver nothing", true, 1, func(w *world) func() { return w.apiFault(w.someHosts(2), objectapi.Faults{SilentWatches: true}) }},
	{"watches broken", false, 1, func(w *world) func() { w.store.BreakWatches(); return nil }},
	{"history expired", false, 1, func(w *world) func() { w.store.Expire(); w.store.BreakWatches(); return nil }},
	{"peer calls lossy", true, 1, func(w *world) func() {
		w.peers.SetFaults(peertest.Faults{LoseCall: 0.1, LoseReply: 0.1, Duplicate: 0.2, MaxDelay: 30 * time.Millisecond})
		return func() { w.peers.SetFaults(healthyPeers) }
	}},
	{"two peers disconnected", true, 1, func(w *world) func() {
		a, b := w.rng.IntN(hostCount), w.rng.IntN(hostCount)
		w.peers.SetBlocked(hostName(a), hostName(b), true)
		return func() { w.peers.SetBlocked(hostName(a), hostName(b), false) }
	}},
	{"host crashes", true, 2, crashHost},
	{"host paused", true, 2, pauseHost},
	{"host stops", true, 2, stopHost},
	{"connections carry nothing", false, 1, func(w *world) func() {
		w.targets.forEachConn("", w.someTarget(), func(c *faultConn) { c.setSilent() })
		return nil
	}},
	{"connections broken", false, 1, func(w *world) func() {
		w.targets.forEachConn("", w.someTarget(), closeConn)
		return nil
	}},
	{"target refuses connections", false, 1, func(w *world) func() {
		name := w.someTarget()
		w.targets.setRefuse(name, true)
		return func() { w.targets.setRefuse(name, false) }
	}},
	{"target misbehaves", false, 2, func(w *world) func() {
		f := w.faulty[w.someTarget()]
		f.setRates(faultRates{dropBefore: 0.15, dropAfter: 0.15, earlierAnswer: 0.4, delay: 0.3, maxDelay: 4 * time.Second})
		return func() { f.setRates(faultRates{}) }
	}},
	{"engine restarts", false, 1, func(w *world) func() { w.faulty[w.someEngine()].restart(); return nil }},
	{"engine control interface silent", false, 1, func(w *world) func() {
		e := w.engines[w.someEngine()]
		e.SetSilent(true)
		return func() { e.SetSilent(false) }
	}},
	{"weight store slow", false, 1, func(w *world) func() {
		w.weights.SetSlowdown(4)
		return func() { w.weights.SetSlowdown(1) }
	}},
	{"engine marked as leaving", false, 1, func(w *world) func() {
		name := w.someEngine()
		if w.leaving[name] {
			return nil
		}
		w.leaving[name] = true
		w.setLeaving(name, true)
		return func() {
			w.setLeaving(name, false)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.leaving[name] = false
		}
	}},
}

// healthyPeers is the network between hosts without faults.
var healthyPeers = peertest.Faults{MaxDelay: time.Millisecond}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func (w *world) someEngine() string { return w.engineNames[w.rng.IntN(engineCount)] }

func (w *world) someTarget() string {
	names := append(append([]string{}, w.engineNames...), "billing-0", "billing-1", "tariffs-0")
	return names[w.rng.IntN(len(names))]
}

// someHosts returns up to n of the hosts that are up and not stopping.
func (w *world) someHosts(n int) []*host {
	var out []*host
	for _, h := range w.upHosts() {
		if !h.stopping.Load() {
			out = append(out, h)
		}
	}
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (w *world) apiFault(hosts []*host, f objectapi.Faults) func() {
	for _, h := range hosts {
		h.api.Store(&f)
	}
	return func() {
		for _, h := range hosts {
			h.api.Store(&objectapi.Faults{})
		}
	}
}

// minHostsUp is the number of hosts that faults leave running.
const minHostsUp = 3

// pickHostToStop picks a host to crash or stop. It returns nil if too few hosts would
// stay up.
func (w *world) pickHostToStop() *host {
	hosts := w.someHosts(hostCount)
	if len(hosts) <= minHostsUp {
		return nil
	}
	hosts[0].stopping.Store(true)
	return hosts[0]
}

// crashHost crashes a host. It is started again at the end of the fault.
func crashHost(w *world) func() {
	h := w.pickHostToStop()
	if h == nil {
		return nil
	}
	h.crashed.Store(true)
	h.cancel()
	w.removeHost(h)
	return func() { w.startHost(h.index) }
}

// pauseHost cuts a host off from its peers and the API. It goes on serving.
func pauseHost(w *world) func() {
	hosts := w.someHosts(1)
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
func stopHost(w *world) func() {
	h := w.pickHostToStop()
	if h == nil {
		return nil
	}
	stopped := make(chan struct{})
	w.wait.Go(func() {
		defer close(stopped)
		w.shutDown(h)
	})
	return func() {
		<-stopped
		w.startHost(h.index)
	}
}

// shutDown does what app.App does at a graceful shutdown.
func (w *world) shutDown(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(requestSettings.DrainMS)*time.Millisecond)
	defer cancel()
	h.view.Leave()
	time.Sleep(time.Duration(requestSettings.HostListTTLMS) * time.Millisecond)
	w.removeHost(h)
	if left := h.core.Shutdown(ctx); left > 0 {
		w.fail("%s: %d requests left on %s", invariant.ShutdownGraceful, left, h.name)
	}
	h.cancel()
}

// injectFaults injects random faults, several at once, until ctx ends. It returns
// when all faults have ended.
func (w *world) injectFaults(ctx context.Context) {
	var ends sync.WaitGroup
	for ctx.Err() == nil {
		f := w.drawFault()
		duration := time.Duration(200+w.rng.IntN(5000)) * time.Millisecond
		if chance(w.rng, 0.2) {
			duration *= 3 // longer than hosts accept requests on an old configuration
		}
		w.startFault(f, duration, &ends)
		if chance(w.rng, 0.2) {
			w.startFault(f, duration/2, &ends) // the same fault twice
		}
		time.Sleep(time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	ends.Wait()
}

func (w *world) drawFault() fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	draw := w.rng.IntN(sum)
	for _, f := range faults {
		if draw -= f.weight; draw < 0 {
			return f
		}
	}
	return faults[0] // unreachable: the weights add up to sum
}

func (w *world) startFault(f fault, duration time.Duration, ends *sync.WaitGroup) {
	w.log.WithField("fault", f.name).WithField("life", duration.String()).Info("fault begins")
	end := f.inject(w)
	w.faultHistory = append(w.faultHistory, fmt.Sprintf("%v %s for %v", time.Since(w.start), f.name, duration))
	if f.blocksConfig {
		w.mu.Lock()
		// The effects last until watches and membership have recovered.
		w.configOutages = append(w.configOutages, period{from: time.Now(), until: time.Now().Add(duration + recoveryTime)})
		w.mu.Unlock()
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
func (w *world) changeConfig(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 50))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * time.Second)))):
		}
		team := rng.IntN(teamCount)
		w.putMarker(n)
		w.lastMarker = int64(n)
		switch rng.IntN(4) {
		case 0:
			w.addKey(team, fmt.Sprintf("secret-%d-%d-%d", seed, team, n))
		case 1, 2:
			w.mu.Lock()
			keys := w.keys[team]
			k := keys[len(keys)-1]
			w.mu.Unlock()
			if len(keys) > 1 && k.withdrawn.IsZero() {
				w.withdrawKey(k)
			}
		case 3:
			rate := teamRate[team]/2 + rng.IntN(teamRate[team])
			w.maxRate[team] = max(w.maxRate[team], float64(rate))
			w.submitTeam(team, rate, teamBurst[team])
		}
	}
}
