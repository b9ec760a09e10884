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

// fault brings a fault about; the result, if any, ends it.
type fault struct {
	name  string
	noisy bool // hosts may be cut off from the configuration meanwhile
	often int  // weight in the draw
	start func(w *world) (end func())
}

var faults = []fault{
	{"API down for one host", true, 1, func(w *world) func() { return w.apiFault(w.someHosts(1), objectapi.Faults{Down: true}) }},
	{"API down", true, 1, func(w *world) func() { return w.apiFault(w.up(), objectapi.Faults{Down: true}) }},
	{"API slow", true, 1, func(w *world) func() {
		return w.apiFault(w.up(), objectapi.Faults{Delay: time.Duration(w.rng.Int64N(int64(800 * time.Millisecond)))})
	}},
	{"API loses answers", true, 1, func(w *world) func() { return w.apiFault(w.up(), objectapi.Faults{LoseAnswers: true}) }},
	{"watches silent", true, 1, func(w *world) func() { return w.apiFault(w.someHosts(2), objectapi.Faults{SilentWatches: true}) }},
	{"watches broken", false, 1, func(w *world) func() { w.store.BreakWatches(); return nil }},
	{"history expired", false, 1, func(w *world) func() { w.store.Expire(); w.store.BreakWatches(); return nil }},
	{"peer calls lossy", true, 1, func(w *world) func() {
		w.peers.SetFaults(peertest.Faults{LoseCall: 0.1, LoseReply: 0.1, Duplicate: 0.2, MaxDelay: 30 * time.Millisecond})
		return func() { w.peers.SetFaults(healthyPeers) }
	}},
	{"peers cut", true, 1, func(w *world) func() {
		a, b := w.rng.IntN(hostCount), w.rng.IntN(hostCount)
		w.peers.SetBlocked(hostName(a), hostName(b), true)
		return func() { w.peers.SetBlocked(hostName(a), hostName(b), false) }
	}},
	{"host crashes", true, 2, crashHost},
	{"host paused", true, 2, pauseHost},
	{"host stops", true, 2, stopHost},
	{"connections silent", false, 1, func(w *world) func() {
		w.targets.each("", w.someTarget(), func(c *faultConn) { c.silence() })
		return nil
	}},
	{"connections broken", false, 1, func(w *world) func() {
		w.targets.each("", w.someTarget(), closeConn)
		return nil
	}},
	{"target refuses", false, 1, func(w *world) func() {
		name := w.someTarget()
		w.targets.setRefuse(name, true)
		return func() { w.targets.setRefuse(name, false) }
	}},
	{"target moody", false, 2, func(w *world) func() {
		f := w.flaky[w.someTarget()]
		f.set(moods{dropBefore: 0.15, dropAfter: 0.15, crossed: 0.4, late: 0.3, lateBy: 4 * time.Second})
		return func() { f.set(moods{}) }
	}},
	{"engine restarts", false, 1, func(w *world) func() { w.flaky[w.someEngine()].restart(); return nil }},
	{"engine control silent", false, 1, func(w *world) func() {
		e := w.engines[w.someEngine()]
		e.SetSilent(true)
		return func() { e.SetSilent(false) }
	}},
	{"weights slow", false, 1, func(w *world) func() {
		w.weights.SetSlowdown(4)
		return func() { w.weights.SetSlowdown(1) }
	}},
	{"engine leaves", false, 1, func(w *world) func() {
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

// healthyPeers are the calls between hosts without faults.
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
	for _, h := range w.up() {
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

// minUp is the number of hosts that faults leave up.
const minUp = 3

// takeDown picks a host to go down, if enough stay up.
func (w *world) takeDown() *host {
	hosts := w.someHosts(hostCount)
	if len(hosts) <= minUp {
		return nil
	}
	hosts[0].stopping.Store(true)
	return hosts[0]
}

// crashHost kills a host; a new run of it starts later.
func crashHost(w *world) func() {
	h := w.takeDown()
	if h == nil {
		return nil
	}
	h.crashed.Store(true)
	h.cancel()
	w.remove(h)
	return func() { w.startHost(h.index) }
}

// pauseHost cuts a host off from peers and API. It goes on serving.
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

// stopHost shuts a host down as planned; a new run of it starts later.
func stopHost(w *world) func() {
	h := w.takeDown()
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

// shutDown does what app.App does at a planned stop.
func (w *world) shutDown(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(bounds.DrainMS)*time.Millisecond)
	defer cancel()
	h.view.Leave()
	time.Sleep(time.Duration(bounds.HostListTTLMS) * time.Millisecond)
	w.remove(h)
	if left := h.core.Shutdown(ctx); left > 0 {
		w.fail("%s: %d requests left on %s", invariant.ShutdownGraceful, left, h.name)
	}
	h.cancel()
}

// injectFaults brings faults about, several at once, until ctx ends; then it
// ends them all.
func (w *world) injectFaults(ctx context.Context) {
	var ends sync.WaitGroup
	for ctx.Err() == nil {
		f := w.drawFault()
		life := time.Duration(200+w.rng.IntN(5000)) * time.Millisecond
		if chance(w.rng, 0.2) {
			life *= 3 // longer than hosts accept an old configuration
		}
		w.begin(f, life, &ends)
		if chance(w.rng, 0.2) {
			w.begin(f, life/2, &ends) // the same once more
		}
		time.Sleep(time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	ends.Wait()
}

func (w *world) drawFault() fault {
	sum := 0
	for _, f := range faults {
		sum += f.often
	}
	draw := w.rng.IntN(sum)
	for _, f := range faults {
		if draw -= f.often; draw < 0 {
			return f
		}
	}
	return faults[0] // not reached: the weights add up to sum
}

func (w *world) begin(f fault, life time.Duration, ends *sync.WaitGroup) {
	w.log.WithField("fault", f.name).WithField("life", life.String()).Info("fault begins")
	end := f.start(w)
	w.history = append(w.history, fmt.Sprintf("%v %s for %v", time.Since(w.start), f.name, life))
	if f.noisy {
		w.mu.Lock()
		// The effects outlast the fault until watches and members are back.
		w.noise = append(w.noise, span{from: time.Now(), until: time.Now().Add(life + aftermath)})
		w.mu.Unlock()
	}
	if end == nil {
		return
	}
	ends.Go(func() {
		time.Sleep(life)
		end()
	})
}

// aftermath is the time that hosts have to find one another and the API again.
const aftermath = 10 * time.Second

// operate changes keys, rates and the mark, until ctx ends.
func (w *world) operate(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 50))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * time.Second)))):
		}
		team := rng.IntN(teamCount)
		w.mark(n)
		w.lastMark = int64(n)
		switch rng.IntN(4) {
		case 0:
			w.giveKey(team, fmt.Sprintf("secret-%d-%d-%d", seed, team, n))
		case 1, 2:
			w.mu.Lock()
			keys := w.keys[team]
			k := keys[len(keys)-1]
			w.mu.Unlock()
			if len(keys) > 1 && k.withdrawn.IsZero() {
				w.withdraw(k)
			}
		case 3:
			rate := teamRate[team]/2 + rng.IntN(teamRate[team])
			w.maxRate[team] = max(w.maxRate[team], float64(rate))
			w.submitTeam(team, rate, teamBurst[team])
		}
	}
}
