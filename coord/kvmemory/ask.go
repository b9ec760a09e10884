package kvmemory

import (
	"cmp"
	"slices"
	"time"
)

// Request asks for memory at one of several engines.
type Request struct {
	Key
	ID      string   // of the caller's request, which may ask again with another number
	Engines []string // the preferred one first
	Tokens  int64
	Prefill time.Duration // expected, if it is long and the model has other copies; 0: it is not
	Due     time.Duration // when it should begin
	Until   time.Duration // EndOf its deadline
}

// Reason tells why a request gets no memory.
type Reason string

// The reasons.
const (
	ReasonNode   Reason = "host does not report here" // or gave up on the request
	ReasonPaused Reason = "coordinator changed"       // what others hold may not be known
	ReasonRoom   Reason = "no room"
	ReasonOrder  Reason = "others are due earlier"
	ReasonLong   Reason = "a long prompt is prefilled there"
	// ReasonInvalid is that of a request without tokens or whose deadline has passed or is more than a day away.
	ReasonInvalid Reason = "request is invalid"
)

// Answer is the answer to a Request.
type Answer struct {
	Granted bool
	Engine  string
	Reason  Reason // if not granted
	// Free is when enough memory is expected to be free at one of the engines; 0: unknown.
	Free time.Duration
}

// waiterKey identifies a request that waits.
type waiterKey struct{ node, id string }

// waiter is a request that was denied for want of room. It sets an engine aside.
type waiter struct {
	tokens  int64
	due     time.Duration
	askedAt time.Duration
}

// Ask grants memory at the first engine that has room. all is the number of nodes known, of which some may report to another
// ledger; room returns what large requests may take of an engine. An answer to the same request is repeated.
func (l *Ledger) Ask(now time.Duration, r Request, all int, room func(engine string) Room) Answer {
	n := l.nodes[r.Node]
	if n == nil || n.incarnation != r.Incarnation || r.Seq <= n.asked && !n.pending[r.Seq] {
		return Answer{Reason: ReasonNode}
	}
	if engine, ok := l.byRun[r.run()][r.Seq]; ok {
		return Answer{Granted: true, Engine: engine}
	}
	share, free := l.share(now, all)
	if free > now {
		return Answer{Reason: ReasonPaused, Free: free}
	}
	l.stopWaiting(waiterKey{r.Node, r.ID})
	answer := Answer{Reason: ReasonRoom}
	aside, busy := "", ""
	for _, engine := range r.Engines {
		space := room(engine).scaled(share)
		if l.fits(now, engine, r.Tokens, space) {
			switch {
			case l.setAside(now, engine, r, space):
				answer.Reason = ReasonOrder
			case r.Prefill == 0 || l.prefillTo[engine] <= now:
				return l.grant(now, r, engine)
			case busy == "" || l.prefillTo[engine] < l.prefillTo[busy]:
				busy = engine
			}
			continue
		}
		if at, ok := l.release(now, engine, r.Tokens, space); ok && (answer.Free == 0 || at < answer.Free) {
			answer.Free, aside = at, engine
		}
	}
	if busy != "" {
		if end := l.prefillTo[busy]; end+prefillMargin*r.Prefill <= r.Due {
			return Answer{Reason: ReasonLong, Free: end}
		}
		return l.grant(now, r, busy)
	}
	if aside != "" {
		if l.waiting[aside] == nil {
			l.waiting[aside] = map[waiterKey]waiter{}
		}
		l.waiting[aside][waiterKey{r.Node, r.ID}] = waiter{tokens: r.Tokens, due: r.Due, askedAt: now}
	}
	return answer
}

// prefillMargin is how many times its own prefill a long request must have left before it is due, to wait for the end of another
// one. In a model with engines of four speeds, fewer had long requests late that waited for a slow engine.
const prefillMargin = 4

func (l *Ledger) grant(now time.Duration, r Request, engine string) Answer {
	l.add(Reservation{Key: r.Key, Engine: engine, Tokens: r.Tokens, Until: r.Until, at: now, own: true})
	if r.Prefill > 0 {
		l.prefillTo[engine] = max(now, l.prefillTo[engine]) + r.Prefill
	}
	return Answer{Granted: true, Engine: engine}
}

// share returns the part of the memory that the nodes which report here may be granted, or until when nothing is granted.
func (l *Ledger) share(now time.Duration, all int) (share float64, pausedTo time.Duration) {
	pausedTo = l.pausedTo
	for _, until := range l.uncovered {
		pausedTo = max(pausedTo, until)
	}
	counted, unlearned, firstJoin := 0, 0, time.Duration(-1)
	for _, n := range l.nodes {
		if (now-n.joinedAt >= joinTime || l.closed[n.from]) && now-n.seenAt <= NodeTimeout {
			if l.countsAfterLoss(now, n) {
				counted++
			} else {
				unlearned++
			}
		}
		if firstJoin < 0 || n.joinedAt < firstJoin {
			firstJoin = n.joinedAt
		}
	}
	if counted == 0 && unlearned > 0 {
		return 0, max(pausedTo, now+1, min(l.lostTo, l.lostTo-joinTime+learnTime))
	}
	if counted == 0 || all == 0 {
		pausedTo = max(pausedTo, firstJoin+joinTime, now+1)
	}
	return min(1, float64(counted)/float64(max(1, all))), pausedTo
}

// fits reports whether a reservation fits at an engine now.
func (l *Ledger) fits(now time.Duration, engine string, tokens int64, space Room) bool {
	used, n := l.Used(now, engine)
	return fitsBeside(used, n, tokens, space)
}

func fitsBeside(used int64, n int, tokens int64, space Room) bool {
	return used+tokens <= space.Together || n == 0 && tokens <= space.Alone
}

// setAside reports whether an engine is set aside for a waiting request that is due earlier and would not fit beside r.
func (l *Ledger) setAside(now time.Duration, engine string, r Request, space Room) bool {
	used, n := l.Used(now, engine)
	for _, w := range l.waiting[engine] {
		if w.due < r.Due && now-w.askedAt <= waitTTL && !fitsBeside(used+r.Tokens, n+1, w.tokens, space) {
			return true
		}
	}
	return false
}

// release returns when a reservation is expected to fit at an engine, if nothing else is granted there.
func (l *Ledger) release(now time.Duration, engine string, tokens int64, space Room) (time.Duration, bool) {
	held := make([]Reservation, 0, len(l.byEngine[engine]))
	for _, r := range l.byEngine[engine] {
		if now < r.Until {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, func(a, b Reservation) int { return cmp.Compare(l.endOf(now, a), l.endOf(now, b)) })
	used, n := l.Used(now, engine)
	for _, r := range held {
		used, n = used-r.Tokens, n-1
		if fitsBeside(used, n, tokens, space) {
			return l.endOf(now, r), true
		}
	}
	return 0, false
}

func (l *Ledger) stopWaiting(k waiterKey) {
	for engine, waiters := range l.waiting {
		if _, ok := waiters[k]; ok {
			if delete(waiters, k); len(waiters) == 0 {
				delete(l.waiting, engine)
			}
		}
	}
}
