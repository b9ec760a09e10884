package fair

import (
	"container/heap"
	"time"
)

// Limits bounds the length of a Queue.
type Limits struct {
	MaxTeamWaiting int // waiting requests of one team
	MaxPoolWaiting int // waiting requests of all teams
}

// Capacity is what a host knows about a pool without its coordinator.
type Capacity struct {
	Slots int // requests that the pool can run at once
	Free  int // slots that were free by the latest reports; negative if unknown
	Hosts int // hosts that use the pool
}

// unlistedTeamWindow is the window of a team that the current grant does not
// list because it had no demand at the last report. In pools too small to keep
// a reserve such a team has no window and waits for the next grant.
const unlistedTeamWindow = 1

// team is the state of one team in a queue. Its window and whether it is limited
// to its share are set by the last grant that lists it.
type team struct {
	name     string
	weight   float64
	flows    map[string]*flowQueue
	waiting  int // requests in all flows
	running  int
	startTag float64 // start tag of the team's next request
	window   int
	inGrant  bool // listed in the last grant
	limited  bool
}

// Queue orders the requests of one host for one pool.
type Queue struct {
	limits         Limits
	teams          map[string]*team
	entries        map[uint64]*entry
	byDeadline     deadlineHeap
	refused        []*Refusal
	virtualTime    float64 // start tag of the last dispatched request
	running        int
	slots          int            // of the pool
	localLimit     int            // limit of running requests without a grant
	runningByModel map[string]int // of all teams
	modelLimits    map[string]int // limits of running requests by model without a grant
	demandSeq      uint64
	appliedSeq     uint64
	grantEnd       time.Duration
	contended      bool        // by the last grant
	slotQuotas     *SlotQuotas // by the last grant
}

// NewQueue returns an empty queue that dispatches nothing until SetCapacity
// or Apply is called.
func NewQueue(l Limits) *Queue {
	return &Queue{
		limits:         l,
		teams:          map[string]*team{},
		entries:        map[uint64]*entry{},
		runningByModel: map[string]int{},
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// Running returns the number of dispatched requests not yet released.
func (q *Queue) Running() int { return q.running }

// Push adds a request. It refuses the request if a bound is reached or the
// request is not expected to be dispatched by its deadline. If the pool's bound
// is reached, the last request of the team with the most waiting requests for
// its weight is refused instead; the next TakeRefusals returns it.
func (q *Queue) Push(now time.Duration, req Request) *Refusal {
	if req.Weight <= 0 {
		req.Weight = 1
	}
	req.Tokens = max(req.Tokens, 1)
	t := q.team(req)
	f := t.flow(req.Model, now)
	f.drain.advance(now, f.waiting > 0)
	if req.Deadline <= now || q.tooLate(now, f, req) {
		return &Refusal{Request: req, Reason: ReasonDeadline, RetryAfter: f.retryAfter()}
	}
	if t.waiting >= q.limits.MaxTeamWaiting {
		return &Refusal{Request: req, Reason: ReasonTeamFull, RetryAfter: f.retryAfter()}
	}
	if len(q.entries) >= q.limits.MaxPoolWaiting && !q.makeRoom(now, t) {
		return &Refusal{Request: req, Reason: ReasonPoolFull, RetryAfter: f.retryAfter()}
	}
	if t.waiting == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
	}
	e := &entry{Request: req}
	f.push(e)
	t.waiting++
	q.entries[req.ID] = e
	heap.Push(&q.byDeadline, e)
	return nil
}

func (q *Queue) team(req Request) *team {
	t := q.teams[req.Team]
	if t == nil {
		t = &team{name: req.Team, flows: map[string]*flowQueue{}}
		q.teams[req.Team] = t
	}
	t.weight = req.Weight
	return t
}

func (t *team) flow(model string, now time.Duration) *flowQueue {
	f := t.flows[model]
	if f == nil {
		f = &flowQueue{team: t, model: model, drain: drainEstimate{updated: now}}
		t.flows[model] = f
	}
	return f
}

func (q *Queue) tooLate(now time.Duration, f *flowQueue, req Request) bool {
	rate := f.drain.rate()
	return rate != unknownRate && drainTime(f.tokensAhead(req.Priority), rate*drainSafetyFactor) > req.Deadline-now
}

// makeRoom refuses the last request of the team with the most waiting requests
// for its weight, if that team would still have more than the asking team. It
// reports whether it did.
func (q *Queue) makeRoom(now time.Duration, asking *team) bool {
	var longest *team
	for _, t := range q.teams {
		if t.waiting == 0 {
			continue
		}
		if longest == nil || t.backlog() > longest.backlog() || t.backlog() == longest.backlog() && t.name < longest.name {
			longest = t
		}
	}
	if longest == nil || longest == asking || longest.backlog() <= float64(asking.waiting+1)/asking.weight {
		return false
	}
	var f *flowQueue
	for _, other := range longest.flows {
		if f == nil || other.waiting > f.waiting || other.waiting == f.waiting && other.model < f.model {
			f = other
		}
	}
	q.refuse(now, f.tail(), ReasonPoolFull)
	return true
}

func (t *team) backlog() float64 { return float64(t.waiting) / t.weight }

// Next returns the next request to dispatch. The request counts as running
// until Release. Next returns false if no request waits or no more may run.
func (q *Queue) Next(now time.Duration) (Request, bool) {
	q.expireDue(now)
	granted := q.Granted(now)
	if !granted && q.running >= q.localLimit {
		return Request{}, false
	}
	var best *entry
	for _, t := range q.teams {
		if t.waiting == 0 || granted && t.running >= q.allowed(t) {
			continue
		}
		if best != nil && !t.before(best.flow.team) {
			continue
		}
		if e := q.nextOf(t, granted); e != nil {
			best = e
		}
	}
	if best == nil {
		return Request{}, false
	}
	q.dispatch(now, best)
	return best.Request, true
}

// allowed returns a team's window under a valid grant.
func (q *Queue) allowed(t *team) int {
	if t.inGrant {
		return t.window
	}
	if q.slots >= reserveDivisor {
		return unlistedTeamWindow
	}
	return 0
}

// before orders teams by start tag, and by name if the tags are equal.
func (t *team) before(o *team) bool {
	if t.startTag != o.startTag {
		return t.startTag < o.startTag
	}
	return t.name < o.name
}

// nextOf returns the team's next request among the flows that may run more, nil if there is none.
func (q *Queue) nextOf(t *team, granted bool) *entry {
	var best *entry
	for _, f := range t.flows {
		if f.waiting == 0 || q.atLimit(f, granted) {
			continue
		}
		e := f.head()
		if best == nil || e.Priority > best.Priority || e.Priority == best.Priority && e.ID < best.ID {
			best = e
		}
	}
	return best
}

// atLimit reports whether a flow may have no more running requests.
func (q *Queue) atLimit(f *flowQueue, granted bool) bool {
	if granted {
		return f.bounded && f.running >= f.window
	}
	limit, limited := q.modelLimits[f.model]
	return limited && q.runningByModel[f.model] >= limit
}

func (q *Queue) dispatch(now time.Duration, e *entry) {
	t := e.flow.team
	e.flow.drain.advance(now, true)
	q.remove(e)
	e.flow.drain.add(e.Tokens)
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += float64(e.Tokens) / t.weight
	t.running++
	q.running++
	e.flow.running++
	q.runningByModel[e.Model]++
}

// remove takes e out of the queue. The flow's drain estimate must be up to date.
func (q *Queue) remove(e *entry) {
	e.flow.remove(e)
	e.flow.team.waiting--
	delete(q.entries, e.ID)
	heap.Remove(&q.byDeadline, e.heapIndex)
}

func (q *Queue) refuse(now time.Duration, e *entry, why Reason) {
	e.flow.drain.advance(now, true)
	q.remove(e)
	q.refused = append(q.refused, &Refusal{Request: e.Request, Reason: why, RetryAfter: e.flow.retryAfter()})
}

// Release ends a request that Next returned.
func (q *Queue) Release(req Request) {
	q.running--
	t := q.teams[req.Team] // present as long as the team has running requests
	t.running--
	t.flows[req.Model].running--
	if q.runningByModel[req.Model]--; q.runningByModel[req.Model] == 0 {
		delete(q.runningByModel, req.Model)
	}
}

// Remove removes a waiting request whose caller left. It returns false if the
// request is not waiting because it was already dispatched or refused.
func (q *Queue) Remove(now time.Duration, id uint64) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	e.flow.drain.advance(now, true)
	q.remove(e)
	return true
}

func (q *Queue) expireDue(now time.Duration) {
	for len(q.byDeadline) > 0 && q.byDeadline[0].Deadline <= now {
		q.refuse(now, q.byDeadline[0], ReasonDeadline)
	}
}

// TakeRefusals returns the requests refused since the last call. It first
// refuses the requests whose deadlines have passed.
func (q *Queue) TakeRefusals(now time.Duration) []*Refusal {
	q.expireDue(now)
	out := q.refused
	q.refused = nil
	return out
}

// Prune refuses requests that are not expected to be dispatched by their
// deadlines, so that their callers learn of it early; the next TakeRefusals
// returns them. Prune also removes teams and flows that have been unused for
// some time.
func (q *Queue) Prune(now time.Duration) {
	for name, t := range q.teams {
		for model, f := range t.flows {
			if f.waiting == 0 {
				if f.running == 0 && now-f.drain.updated > slowDrainPeriod {
					delete(t.flows, model)
				}
				continue
			}
			f.drain.advance(now, true)
			for _, e := range f.expectedLate(now) {
				q.refuse(now, e, ReasonDeadline)
			}
		}
		// Teams whose start tags are above the virtual time are kept, so that
		// the service that they already received still counts.
		if len(t.flows) == 0 && t.running == 0 && t.startTag <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// NextDeadline returns the earliest deadline of the waiting requests.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.byDeadline) == 0 {
		return 0, false
	}
	return q.byDeadline[0].Deadline, true
}

// SetCapacity sets what the host may use without a valid grant: an equal share
// of the pool or, if that is more, what it already runs and an equal share of
// the slots reported free. Free slots are divided among the hosts because all
// of them see the same ones. Models that are ready on few targets have
// capacities of their own.
func (q *Queue) SetCapacity(c Capacity, models map[string]Capacity) {
	q.slots = c.Slots
	q.localLimit = c.localLimit(q.running)
	q.modelLimits = make(map[string]int, len(models))
	for model, mc := range models {
		q.modelLimits[model] = mc.localLimit(q.runningByModel[model])
	}
}

func (c Capacity) localLimit(running int) int {
	hosts := max(c.Hosts, 1)
	share := max((c.Slots+hosts-1)/hosts, 1)
	// The slots that the coordinator keeps free for teams within their shares are not spare.
	if spare := c.Free - c.Slots/reserveDivisor; spare > 0 {
		share = max(share, running+(spare+hosts-1)/hosts)
	}
	return share
}
