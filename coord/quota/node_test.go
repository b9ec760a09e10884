package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// maxWait is the longest wait of a request for tokens.
const maxWait = 400 * time.Millisecond

// node is a simulated host. Work for a paused host waits in deferred.
type node struct {
	sim         *simulation
	index       int
	id          ID
	clockOffset time.Duration
	up          bool
	paused      bool
	draining    bool
	deferred    []func()
	limits      map[string]*Limit
	configs     map[string]limitConfig
	sortedNames []string // names of limits
	waits       map[string]func(WaitResult)
	tracker     *OrphanTracker
}

func (n *node) start() {
	sim := n.sim
	n.id.Incarnation = fmt.Sprint(sim.now, sim.rng.Uint32())
	n.clockOffset = time.Duration(sim.rng.Int64N(int64(time.Hour)))
	n.up, n.paused, n.draining = true, false, false
	n.deferred = nil
	n.limits, n.configs, n.waits = map[string]*Limit{}, map[string]limitConfig{}, map[string]func(WaitResult){}
	n.tracker = NewOrphanTracker(n.id)
	sim.listed[n.id.Name] = true
	n.sortedNames = slices.Sorted(maps.Keys(sim.configs))
	for _, name := range n.sortedNames {
		n.limits[name] = New(name, n.id, sim.kinds[name])
		n.configure(name, sim.configs[name])
	}
	n.every(5*time.Millisecond, n.tick)
	n.every(200*time.Millisecond, n.sync)
}

func (n *node) restart() {
	if !n.up {
		n.start()
	}
}

func (n *node) configure(name string, c limitConfig) {
	n.configs[name] = c
	n.sim.configChanges = append(n.sim.configChanges, configChange{n.sim.nextOrder(), n.sim.now, n.index, name, c})
	n.limits[name].Configure(n.clock(), c.rate, c.burst)
	n.flush(name)
}

func (n *node) clock() time.Duration { return n.sim.now + n.clockOffset }

// do runs f on this run of the host after a delay, unless the host is down then. While the host is
// paused, f is deferred.
func (n *node) do(d time.Duration, f func()) {
	incarnation := n.id.Incarnation
	n.sim.after(d, func() {
		switch {
		case !n.up || n.id.Incarnation != incarnation:
		case n.paused:
			n.deferred = append(n.deferred, f)
		default:
			f()
		}
	})
}

func (n *node) every(d time.Duration, f func()) {
	n.do(d, func() {
		f()
		n.every(d, f)
	})
}

func (n *node) tick() {
	for _, name := range n.names() {
		if n.limits[name].Busy() || n.sim.rng.IntN(200) == 0 {
			n.limits[name].Tick(n.clock())
			n.flush(name)
		}
	}
}

func (n *node) names() []string { return n.sortedNames }

func (n *node) flush(name string) {
	for _, o := range n.limits[name].Outputs() {
		from := n.id
		switch {
		case o.WaitResult != nil:
			key := fmt.Sprint(name, o.WaitResult.WaitID)
			n.waits[key](*o.WaitResult)
			delete(n.waits, key)
		case o.LoanRequest != nil:
			n.sim.send(o.To.Name, func(m *node) {
				if n.sim.listed[from.Name] {
					m.limits[name].HandleLoanRequest(m.clock(), from, *o.LoanRequest)
					m.flush(name)
				}
			})
		case o.LoanReply != nil:
			n.sim.send(o.To.Name, func(m *node) {
				if m.id == o.To {
					m.limits[name].HandleLoanReply(m.clock(), from, *o.LoanReply)
					m.flush(name)
				}
			})
		case o.Recall != nil:
			n.sim.send(o.To.Name, func(m *node) {
				if m.id != o.To {
					m.reply(n, func() { n.limits[name].RemoveBorrower(n.clock(), o.To); n.flush(name) })
				}
				m.limits[name].HandleRecall(m.clock(), from, *o.Recall)
				m.flush(name)
			})
		}
	}
}

// reply sends the reply to a call. Only the run that made the call receives it.
func (n *node) reply(to *node, f func()) {
	id := to.id
	n.sim.send(id.Name, func(m *node) {
		if m.id == id {
			f()
		}
	})
}

// request reserves tokens and settles used of them after hold. Done is told whether the tokens
// were granted.
func (n *node) request(name string, reserved, used int64, hold time.Duration, done func(granted bool)) {
	n.do(0, func() {
		l := n.limits[name]
		finish := func(result WaitResult) {
			done(result.Granted)
			if result.Granted {
				n.hold(name, result.Reservation, used, hold)
			}
		}
		if r, ok := l.Take(n.clock(), reserved); ok {
			finish(WaitResult{Granted: true, Reservation: r})
			return
		}
		id := l.Wait(n.clock(), reserved, n.clock()+maxWait)
		n.waits[fmt.Sprint(name, id)] = finish
		n.flush(name)
	})
}

func (n *node) hold(name string, r Reservation, used int64, duration time.Duration) {
	n.sim.reservations[name] = append(n.sim.reservations[name], reservationRecord{
		order: n.sim.nextOrder(), takenAt: n.sim.now, settledAt: -1, reserved: r.Amount, used: r.Amount,
		node: n, incarnation: n.id.Incarnation,
	})
	i := len(n.sim.reservations[name]) - 1
	if duration <= 0 {
		n.limits[name].Settle(n.clock(), r, used)
		n.sim.reservations[name][i].used = used
		return
	}
	n.do(duration, func() {
		record := &n.sim.reservations[name][i]
		record.used, record.settledAt = used, n.sim.now
		if n.sim.kinds[name] == Permits {
			used = 0
		}
		n.limits[name].Settle(n.clock(), r, used)
		n.flush(name)
	})
}

// sync reads the ledger, then the host list, and reassigns orphaned limits.
func (n *node) sync() {
	sim := n.sim
	n.read(func(ledger Ledger, version int) {
		n.adopt(ledger)
		if !sim.listed[n.id.Name] || n.draining {
			return
		}
		changed := false
		for _, name := range n.names() {
			if n.pick(name) == n.id.Name {
				changed = ledger.Open(name, n.id) || changed
			}
		}
		for home, names := range n.tracker.Orphans(ledger, sim.listed, n.pick) {
			missing := n.tracker.MissingAcks(home, sim.listed)
			for _, host := range missing {
				n.release(home, host)
			}
			for _, name := range names {
				if len(missing) == 0 {
					changed = ledger.Reassign(name, ledger.Limits[name].Epoch, n.id, 0) || changed
				}
			}
		}
		if changed {
			n.write(ledger, version)
		}
	})
}

func (n *node) release(home ID, host string) {
	n.sim.send(host, func(m *node) {
		released := true
		for _, name := range m.names() {
			released = m.limits[name].Release(m.clock(), home) && released
			m.flush(name)
		}
		if released {
			m.reply(n, func() { n.tracker.Ack(home, host) })
		}
	})
}

// pick returns the listed host with the highest hash.
func (n *node) pick(limit string) string {
	best, bestHash := "", uint64(0)
	for host := range n.sim.listed {
		h := uint64(14695981039346656037)
		for _, c := range []byte(limit + host) {
			h = (h ^ uint64(c)) * 1099511628211
		}
		if h > bestHash {
			best, bestHash = host, h
		}
	}
	return best
}

func (n *node) adopt(ledger Ledger) {
	for _, name := range n.names() {
		n.limits[name].Assign(n.clock(), ledger.Limits[name])
		n.flush(name)
	}
}

func (n *node) read(f func(Ledger, int)) {
	n.sim.after(n.sim.delay(), func() {
		if n.sim.apiDown || n.sim.rng.Float64() < n.sim.faults.replyLoss {
			return
		}
		ledger, version := Ledger{Limits: maps.Clone(n.sim.ledger.Limits)}, n.sim.version
		n.do(n.sim.delay(), func() { f(ledger, version) })
	})
}

// write replaces the ledger if it is still at version. The outcome is not reported; the next read
// shows it.
func (n *node) write(ledger Ledger, version int) {
	n.sim.after(n.sim.delay(), func() {
		if n.sim.apiDown || n.sim.version != version {
			return
		}
		n.sim.ledger = ledger
		n.sim.version++
	})
}

// crash ends the run. The platform removes the host from its list after lag.
func (n *node) crash(lag time.Duration) {
	n.up = false
	for name := range n.configs {
		n.sim.configChanges = append(n.sim.configChanges,
			configChange{n.sim.nextOrder(), n.sim.now, n.index, name, limitConfig{}})
	}
	for name := range n.sim.reservations {
		for i := range n.sim.reservations[name] {
			record := &n.sim.reservations[name][i]
			if record.node == n && record.incarnation == n.id.Incarnation && record.settledAt < 0 {
				record.settledAt = n.sim.now
			}
		}
	}
	incarnation := n.id.Incarnation
	n.sim.after(lag, func() {
		if n.id.Incarnation == incarnation {
			delete(n.sim.listed, n.id.Name)
		}
	})
}

func (n *node) pause(d time.Duration) {
	incarnation := n.id.Incarnation
	n.paused = true
	n.sim.after(d, func() {
		if n.id.Incarnation != incarnation {
			return
		}
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			n.do(0, f)
		}
	})
}

// drain hands over the limits and stops the host.
func (n *node) drain() {
	n.draining = true
	deadline := n.sim.now + 2*time.Second
	var step func()
	step = func() {
		n.read(func(ledger Ledger, version int) {
			n.adopt(ledger)
			open, changed := false, false
			for _, name := range n.names() {
				tokens, ready := n.limits[name].Freeze(n.clock())
				n.flush(name)
				if n.limits[name].InUse() > 0 {
					open = true
				} else if to := n.sim.otherNode(n); ready && to != nil {
					epoch, _ := n.limits[name].Epoch()
					changed = ledger.Reassign(name, epoch, to.id, tokens) || changed
				}
			}
			if changed {
				n.write(ledger, version)
			}
			if !open && n.sim.now > deadline+time.Second {
				n.crash(time.Second)
			}
		})
		n.do(50*time.Millisecond, step)
	}
	n.do(0, step)
}
