package fair

import (
	"container/heap"
	"time"
)

// Limits bound a Queue.
type Limits struct {
	TeamItems int // waiting requests of one team
	PoolItems int // waiting requests of all teams
}

// Capacity is what a host knows of a pool without its coordinator.
type Capacity struct {
	Slots int // requests that the pool runs at once
	Spare int // slots that were free by the latest reports; negative if unknown
	Hosts int // hosts that use the pool
}

// starterWindow is what a team may run that a live grant does not name: it
// had no demand when the coordinator was asked last. Pools too small to keep a
// reserve give none; there the team waits for the next grant.
const starterWindow = 1

// team is the flow of one team.
type team struct {
	name    string
	weight  float64
	lanes   map[string]*lane
	count   int // waiting
	running int
	start   float64 // start tag of the team's next request
	window  int
	named   bool // by the last grant
	limited bool
}

// Queue orders the requests of one host for one pool.
type Queue struct {
	limits     Limits
	teams      map[string]*team
	entries    map[uint64]*entry
	due        deadlines
	refused    []*Refusal
	virtual    float64 // start tag of the last dispatched request
	running    int
	slots      int            // of the pool
	local      int            // limit of running requests without a grant
	perModel   map[string]int // running requests by model
	models     map[string]int // their limits without a grant
	seq        uint64
	applied    uint64
	grantEnd   time.Duration
	contended  bool   // by the last grant
	slotsGiven *Slots // by the last grant
}

// NewQueue returns an empty queue that dispatches nothing until SetCapacity
// or Apply is called.
func NewQueue(l Limits) *Queue {
	return &Queue{
		limits:   l,
		teams:    map[string]*team{},
		entries:  map[uint64]*entry{},
		perModel: map[string]int{},
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// Running returns the number of dispatched requests not yet released.
func (q *Queue) Running() int { return q.running }

// Push adds a request, or refuses it at once if a bound is reached or its
// turn will not come by its deadline. With the pool's bound reached, the team
// with the most waiting for its weight gives up its last request, which the
// next Expire returns.
func (q *Queue) Push(now time.Duration, it Item) *Refusal {
	if it.Weight <= 0 {
		it.Weight = 1
	}
	it.Tokens = max(it.Tokens, 1)
	t := q.team(it)
	l := t.lane(it.Model, now)
	l.drain.advance(now, l.count > 0)
	if it.Deadline <= now || q.tooLate(now, l, it) {
		return &Refusal{Item: it, Reason: ReasonDeadline, RetryAfter: l.retryAfter()}
	}
	if t.count >= q.limits.TeamItems {
		return &Refusal{Item: it, Reason: ReasonTeamFull, RetryAfter: l.retryAfter()}
	}
	if len(q.entries) >= q.limits.PoolItems && !q.makeRoom(now, t) {
		return &Refusal{Item: it, Reason: ReasonPoolFull, RetryAfter: l.retryAfter()}
	}
	if t.count == 0 {
		t.start = max(t.start, q.virtual)
	}
	e := &entry{Item: it}
	l.push(e)
	t.count++
	q.entries[it.ID] = e
	heap.Push(&q.due, e)
	return nil
}

func (q *Queue) team(it Item) *team {
	t := q.teams[it.Team]
	if t == nil {
		t = &team{name: it.Team, lanes: map[string]*lane{}}
		q.teams[it.Team] = t
	}
	t.weight = it.Weight
	return t
}

func (t *team) lane(model string, now time.Duration) *lane {
	l := t.lanes[model]
	if l == nil {
		l = &lane{team: t, model: model, drain: drain{at: now}}
		t.lanes[model] = l
	}
	return l
}

func (q *Queue) tooLate(now time.Duration, l *lane, it Item) bool {
	rate := l.drain.rate()
	return rate != unknownDrain && wait(l.ahead(it.Priority), rate*optimism) > it.Deadline-now
}

// makeRoom gives up the last request of the team with the most waiting for
// its weight, if that is more than what the asking team would have.
func (q *Queue) makeRoom(now time.Duration, asking *team) bool {
	var longest *team
	for _, t := range q.teams {
		if t.count == 0 {
			continue
		}
		if longest == nil || t.backlog() > longest.backlog() || t.backlog() == longest.backlog() && t.name < longest.name {
			longest = t
		}
	}
	if longest == nil || longest == asking || longest.backlog() <= float64(asking.count+1)/asking.weight {
		return false
	}
	var l *lane
	for _, other := range longest.lanes {
		if l == nil || other.count > l.count || other.count == l.count && other.model < l.model {
			l = other
		}
	}
	q.refuse(now, l.tail(), ReasonPoolFull)
	return true
}

func (t *team) backlog() float64 { return float64(t.count) / t.weight }

// Next returns the next request to dispatch. It counts as running until
// Release. It is false if nothing waits or no more may run.
func (q *Queue) Next(now time.Duration) (Item, bool) {
	q.expireDue(now)
	granted := q.Granted(now)
	if !granted && q.running >= q.local {
		return Item{}, false
	}
	var best *entry
	for _, t := range q.teams {
		if t.count == 0 || granted && t.running >= q.allowed(t) {
			continue
		}
		if best != nil && !t.before(best.lane.team) {
			continue
		}
		if e := q.headOf(t, granted); e != nil {
			best = e
		}
	}
	if best == nil {
		return Item{}, false
	}
	q.dispatch(now, best)
	return best.Item, true
}

// allowed returns a team's window under a live grant.
func (q *Queue) allowed(t *team) int {
	if t.named {
		return t.window
	}
	if q.slots >= reserveDivisor {
		return starterWindow
	}
	return 0
}

// before orders teams by start tag; names decide between equals.
func (t *team) before(o *team) bool {
	if t.start != o.start {
		return t.start < o.start
	}
	return t.name < o.name
}

// headOf returns the team's next request of a model that may have more.
func (q *Queue) headOf(t *team, granted bool) *entry {
	var best *entry
	for _, l := range t.lanes {
		if l.count == 0 || q.held(l, granted) {
			continue
		}
		e := l.head()
		if best == nil || e.Priority > best.Priority || e.Priority == best.Priority && e.ID < best.ID {
			best = e
		}
	}
	return best
}

// held reports whether a lane may have no more running requests.
func (q *Queue) held(l *lane, granted bool) bool {
	if granted {
		return l.bounded && l.running >= l.window
	}
	limit, limited := q.models[l.model]
	return limited && q.perModel[l.model] >= limit
}

func (q *Queue) dispatch(now time.Duration, e *entry) {
	t := e.lane.team
	e.lane.drain.advance(now, true)
	q.remove(e)
	e.lane.drain.add(e.Tokens)
	q.virtual = max(q.virtual, t.start)
	t.start += float64(e.Tokens) / t.weight
	t.running++
	q.running++
	e.lane.running++
	q.perModel[e.Model]++
}

// remove takes e out of the queue; its time in the lane is counted already.
func (q *Queue) remove(e *entry) {
	e.lane.remove(e)
	e.lane.team.count--
	delete(q.entries, e.ID)
	heap.Remove(&q.due, e.index)
}

func (q *Queue) refuse(now time.Duration, e *entry, why Reason) {
	e.lane.drain.advance(now, true)
	q.remove(e)
	q.refused = append(q.refused, &Refusal{Item: e.Item, Reason: why, RetryAfter: e.lane.retryAfter()})
}

// Release ends a request that Next returned.
func (q *Queue) Release(it Item) {
	q.running--
	t := q.teams[it.Team] // kept while it has running requests
	t.running--
	t.lanes[it.Model].running--
	if q.perModel[it.Model]--; q.perModel[it.Model] == 0 {
		delete(q.perModel, it.Model)
	}
}

// Remove takes out a waiting request whose caller left. It is false if the
// request does not wait: it was dispatched or refused before.
func (q *Queue) Remove(now time.Duration, id uint64) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	e.lane.drain.advance(now, true)
	q.remove(e)
	return true
}

func (q *Queue) expireDue(now time.Duration) {
	for len(q.due) > 0 && q.due[0].Deadline <= now {
		q.refuse(now, q.due[0], ReasonDeadline)
	}
}

// Expire returns the requests refused since the last call, those whose
// deadline has come included.
func (q *Queue) Expire(now time.Duration) []*Refusal {
	q.expireDue(now)
	out := q.refused
	q.refused = nil
	return out
}

// Prune refuses requests that will not have their turn by their deadline, so
// that their callers hear of it at once; the next Expire returns them. Teams
// that have neither waiting nor running requests are forgotten after a while.
func (q *Queue) Prune(now time.Duration) {
	for name, t := range q.teams {
		for model, l := range t.lanes {
			if l.count == 0 {
				if l.running == 0 && now-l.drain.at > slowWindow {
					delete(t.lanes, model)
				}
				continue
			}
			l.drain.advance(now, true)
			for _, e := range l.late(now) {
				q.refuse(now, e, ReasonDeadline)
			}
		}
		// A start tag not above the virtual time holds no debt worth keeping.
		if len(t.lanes) == 0 && t.running == 0 && t.start <= q.virtual {
			delete(q.teams, name)
		}
	}
}

// NextDeadline returns the earliest deadline of the waiting requests.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.due) == 0 {
		return 0, false
	}
	return q.due[0].Deadline, true
}

// SetCapacity sets what the host may use without a live grant: its equal
// share of the pool, or what it runs already and its share of the slots that
// seemed free. Hosts that see the same free slots so take them only once.
// Models that are ready on few targets have a capacity of their own.
func (q *Queue) SetCapacity(c Capacity, models map[string]Capacity) {
	q.slots = c.Slots
	q.local = c.local(q.running)
	q.models = make(map[string]int, len(models))
	for model, mc := range models {
		q.models[model] = mc.local(q.perModel[model])
	}
}

func (c Capacity) local(running int) int {
	hosts := max(c.Hosts, 1)
	share := max((c.Slots+hosts-1)/hosts, 1)
	// What a coordinator keeps free for teams within their shares is not spare.
	if spare := c.Spare - c.Slots/reserveDivisor; spare > 0 {
		share = max(share, running+(spare+hosts-1)/hosts)
	}
	return share
}
