package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// patience is the longest wait of a request for tokens.
const patience = 400 * time.Millisecond

// node is a host. Work for a paused host waits in held.
type node struct {
	w       *world
	index   int
	id      ID
	offset  time.Duration
	up      bool
	paused  bool
	leaving bool
	held    []func()
	limits  map[string]*Limit
	conf    map[string]conf
	sorted  []string // names of limits
	waits   map[string]func(WaitResult)
	steward *OrphanTracker
}

func (n *node) start() {
	w := n.w
	n.id.Incarnation = fmt.Sprint(w.now, w.rng.Uint32())
	n.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	n.up, n.paused, n.leaving = true, false, false
	n.held = nil
	n.limits, n.conf, n.waits = map[string]*Limit{}, map[string]conf{}, map[string]func(WaitResult){}
	n.steward = NewOrphanTracker(n.id)
	w.listed[n.id.Name] = true
	n.sorted = slices.Sorted(maps.Keys(w.conf))
	for _, name := range n.sorted {
		n.limits[name] = New(name, n.id, w.kinds[name])
		n.configure(name, w.conf[name])
	}
	n.every(5*time.Millisecond, n.tick)
	n.every(200*time.Millisecond, n.sync)
}

func (n *node) restart() {
	if !n.up {
		n.start()
	}
}

func (n *node) configure(name string, c conf) {
	n.conf[name] = c
	n.w.views = append(n.w.views, view{n.w.order(), n.w.now, n.index, name, c})
	n.limits[name].Configure(n.clock(), c.rate, c.burst)
	n.flush(name)
}

func (n *node) clock() time.Duration { return n.w.now + n.offset }

// do runs f on this run of the host after a delay, unless the host is down
// then; a pause puts it off.
func (n *node) do(d time.Duration, f func()) {
	inc := n.id.Incarnation
	n.w.after(d, func() {
		switch {
		case !n.up || n.id.Incarnation != inc:
		case n.paused:
			n.held = append(n.held, f)
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
		if n.limits[name].Busy() || n.w.rng.IntN(200) == 0 {
			n.limits[name].Tick(n.clock())
			n.flush(name)
		}
	}
}

func (n *node) names() []string { return n.sorted }

func (n *node) flush(name string) {
	for _, o := range n.limits[name].Outputs() {
		from := n.id
		switch {
		case o.WaitResult != nil:
			key := fmt.Sprint(name, o.WaitResult.WaitID)
			n.waits[key](*o.WaitResult)
			delete(n.waits, key)
		case o.LoanRequest != nil:
			n.w.send(o.To.Name, func(m *node) {
				if n.w.listed[from.Name] {
					m.limits[name].HandleLoanRequest(m.clock(), from, *o.LoanRequest)
					m.flush(name)
				}
			})
		case o.LoanReply != nil:
			n.w.send(o.To.Name, func(m *node) {
				if m.id == o.To {
					m.limits[name].HandleLoanReply(m.clock(), from, *o.LoanReply)
					m.flush(name)
				}
			})
		case o.Recall != nil:
			n.w.send(o.To.Name, func(m *node) {
				if m.id != o.To {
					m.reply(n, func() { n.limits[name].RemoveBorrower(n.clock(), o.To); n.flush(name) })
				}
				m.limits[name].HandleRecall(m.clock(), from, *o.Recall)
				m.flush(name)
			})
		}
	}
}

// reply answers a call of this run of host n.
func (n *node) reply(to *node, f func()) {
	id := to.id
	n.w.send(id.Name, func(m *node) {
		if m.id == id {
			f()
		}
	})
}

// request reserves taken and settles used after hold. Done is told whether the
// tokens were granted.
func (n *node) request(name string, taken, used int64, hold time.Duration, done func(granted bool)) {
	n.do(0, func() {
		l := n.limits[name]
		got := func(v WaitResult) {
			done(v.Granted)
			if v.Granted {
				n.spend(name, v.Reservation, used, hold)
			}
		}
		if r, ok := l.Take(n.clock(), taken); ok {
			got(WaitResult{Granted: true, Reservation: r})
			return
		}
		id := l.Wait(n.clock(), taken, n.clock()+patience)
		n.waits[fmt.Sprint(name, id)] = got
		n.flush(name)
	})
}

func (n *node) spend(name string, r Reservation, used int64, hold time.Duration) {
	n.w.log[name] = append(n.w.log[name], spend{order: n.w.order(), at: n.w.now, ended: -1, taken: r.Amount, used: r.Amount, node: n, inc: n.id.Incarnation})
	i := len(n.w.log[name]) - 1
	if hold <= 0 {
		n.limits[name].Settle(n.clock(), r, used)
		n.w.log[name][i].used = used
		return
	}
	n.do(hold, func() {
		s := &n.w.log[name][i]
		s.used, s.ended = used, n.w.now
		if n.w.kinds[name] == Permits {
			used = 0
		}
		n.limits[name].Settle(n.clock(), r, used)
		n.flush(name)
	})
}

// sync reads the ledger, then the host list, and sees to orphans.
func (n *node) sync() {
	w := n.w
	n.read(func(ledger Ledger, version int) {
		n.adopt(ledger)
		if !w.listed[n.id.Name] || n.leaving {
			return
		}
		changed := false
		for _, name := range n.names() {
			if n.pick(name) == n.id.Name {
				changed = ledger.Open(name, n.id) || changed
			}
		}
		for home, names := range n.steward.Orphans(ledger, w.listed, n.pick) {
			missing := n.steward.MissingAcks(home, w.listed)
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
	n.w.send(host, func(m *node) {
		clear := true
		for _, name := range m.names() {
			clear = m.limits[name].Release(m.clock(), home) && clear
			m.flush(name)
		}
		if clear {
			m.reply(n, func() { n.steward.Ack(home, host) })
		}
	})
}

// pick returns the listed host with the highest hash.
func (n *node) pick(limit string) string {
	best, bestHash := "", uint64(0)
	for host := range n.w.listed {
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
	n.w.after(n.w.delay(), func() {
		if n.w.apiDown || n.w.rng.Float64() < n.w.faults.loseAnswer {
			return
		}
		ledger, version := Ledger{Limits: maps.Clone(n.w.ledger.Limits)}, n.w.version
		n.do(n.w.delay(), func() { f(ledger, version) })
	})
}

// write replaces the ledger if it is still at version. Its answer is not used:
// the next read shows the outcome.
func (n *node) write(ledger Ledger, version int) {
	n.w.after(n.w.delay(), func() {
		if n.w.apiDown || n.w.version != version {
			return
		}
		n.w.ledger = ledger
		n.w.version++
	})
}

// die ends the run; the platform's list follows after lag.
func (n *node) die(lag time.Duration) {
	n.up = false
	for name := range n.conf {
		n.w.views = append(n.w.views, view{n.w.order(), n.w.now, n.index, name, conf{}})
	}
	for name := range n.w.log {
		for i := range n.w.log[name] {
			s := &n.w.log[name][i]
			if s.node == n && s.inc == n.id.Incarnation && s.ended < 0 {
				s.ended = n.w.now
			}
		}
	}
	inc := n.id.Incarnation
	n.w.after(lag, func() {
		if n.id.Incarnation == inc {
			delete(n.w.listed, n.id.Name)
		}
	})
}

func (n *node) pause(d time.Duration) {
	inc := n.id.Incarnation
	n.paused = true
	n.w.after(d, func() {
		if n.id.Incarnation != inc {
			return
		}
		n.paused = false
		held := n.held
		n.held = nil
		for _, f := range held {
			n.do(0, f)
		}
	})
}

// leave hands the limits over and stops.
func (n *node) leave() {
	n.leaving = true
	deadline := n.w.now + 2*time.Second
	var step func()
	step = func() {
		n.read(func(ledger Ledger, version int) {
			n.adopt(ledger)
			open, changed := false, false
			for _, name := range n.names() {
				carry, ready := n.limits[name].Freeze(n.clock())
				n.flush(name)
				if n.limits[name].InUse() > 0 {
					open = true
				} else if to := n.w.other(n); ready && to != nil {
					epoch, _ := n.limits[name].Epoch()
					changed = ledger.Reassign(name, epoch, to.id, carry) || changed
				}
			}
			if changed {
				n.write(ledger, version)
			}
			if !open && n.w.now > deadline+time.Second {
				n.die(time.Second)
			}
		})
		n.do(50*time.Millisecond, step)
	}
	n.do(0, step)
}
