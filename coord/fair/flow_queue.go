package fair

import (
	"container/list"
	"math"
	"time"
)

const (
	fastDrainPeriod    = 3 * time.Second  // time constant of the fast drain estimate
	slowDrainPeriod    = 30 * time.Second // time constant of the slow drain estimate
	minObservedTime    = 2 * time.Second  // time with waiting requests before an estimate is used
	minDrainedRequests = 8                // requests drained before an estimate is used
	drainSafetyFactor  = 1.5              // requests are refused only if a drain faster by this factor is too slow
	minRetryAfter      = time.Second
	maxRetryAfter      = time.Minute
	unknownRate        = 0
)

// entry is a request in a queue.
type entry struct {
	Request
	flow      *flowQueue
	level     *level
	element   *list.Element
	heapIndex int // in the deadline heap
}

// level holds the requests of one priority in order of arrival.
type level struct {
	priority int
	items    *list.List // of *entry
	tokens   int64
}

// flowQueue holds the waiting requests of one team for one model.
type flowQueue struct {
	team    *team
	model   string
	levels  []*level // highest priority first; none is empty
	waiting int
	tokens  int64
	drain   drainEstimate

	running int
	window  int  // by the last grant, if bounded
	bounded bool // the last grant limits the flow
}

func (f *flowQueue) push(e *entry) {
	i := 0
	for i < len(f.levels) && f.levels[i].priority > e.Priority {
		i++
	}
	if i == len(f.levels) || f.levels[i].priority != e.Priority {
		f.levels = append(f.levels, nil)
		copy(f.levels[i+1:], f.levels[i:])
		f.levels[i] = &level{priority: e.Priority, items: list.New()}
	}
	e.flow, e.level = f, f.levels[i]
	e.element = e.level.items.PushBack(e)
	e.level.tokens += e.Tokens
	f.tokens += e.Tokens
	f.waiting++
}

func (f *flowQueue) remove(e *entry) {
	e.level.items.Remove(e.element)
	e.level.tokens -= e.Tokens
	f.tokens -= e.Tokens
	f.waiting--
	if e.level.items.Len() > 0 {
		return
	}
	for i, lv := range f.levels {
		if lv == e.level {
			f.levels = append(f.levels[:i], f.levels[i+1:]...)
			return
		}
	}
}

// head returns the next request; the flow must have one waiting.
func (f *flowQueue) head() *entry { return f.levels[0].items.Front().Value.(*entry) }

// tail returns the last request; the flow must have one waiting.
func (f *flowQueue) tail() *entry { return f.levels[len(f.levels)-1].items.Back().Value.(*entry) }

// tokensAhead returns the tokens of the requests that precede a new request of
// the given priority.
func (f *flowQueue) tokensAhead(priority int) int64 {
	var n int64
	for _, lv := range f.levels {
		if lv.priority >= priority {
			n += lv.tokens
		}
	}
	return n
}

// expectedLate returns the requests that are not expected to be dispatched by
// their deadlines. The drain estimate must be up to date.
func (f *flowQueue) expectedLate(now time.Duration) []*entry {
	rate := f.drain.rate()
	if rate == unknownRate {
		return nil
	}
	var out []*entry
	var ahead int64
	for _, lv := range f.levels {
		for el := lv.items.Front(); el != nil; el = el.Next() {
			e := el.Value.(*entry)
			if drainTime(ahead, rate*drainSafetyFactor) > e.Deadline-now {
				out = append(out, e)
				continue
			}
			ahead += e.Tokens
		}
	}
	return out
}

// retryAfter returns the time in which the flow is expected to drain, between
// minRetryAfter and maxRetryAfter.
func (f *flowQueue) retryAfter() time.Duration {
	rate := f.drain.rate()
	if rate == unknownRate {
		return minRetryAfter
	}
	return min(max(drainTime(f.tokens, rate), minRetryAfter), maxRetryAfter)
}

// drainTime returns tokens / rate, capped to avoid overflow.
func drainTime(tokens int64, rate float64) time.Duration {
	s := float64(tokens) / rate
	if s > maxRetryAfter.Seconds()*60 {
		s = maxRetryAfter.Seconds() * 60
	}
	return time.Duration(s * float64(time.Second))
}

// drainEstimate estimates how fast a flow drains, from the periods in which it
// had waiting requests.
type drainEstimate struct {
	updated                  time.Duration // last call of advance
	fastSeconds, slowSeconds float64       // seconds with waiting requests, decayed
	fastTokens, slowTokens   float64       // tokens drained, decayed
	drained                  int
}

// advance decays the sums up to now. Time without waiting requests leaves the
// estimate unchanged, since it does not show how fast the flow could drain.
func (d *drainEstimate) advance(now time.Duration, waiting bool) {
	dt := now - d.updated
	d.updated = now
	if !waiting || dt <= 0 {
		return
	}
	fast := math.Exp(-dt.Seconds() / fastDrainPeriod.Seconds())
	slow := math.Exp(-dt.Seconds() / slowDrainPeriod.Seconds())
	d.fastSeconds = d.fastSeconds*fast + dt.Seconds()
	d.fastTokens *= fast
	d.slowSeconds = d.slowSeconds*slow + dt.Seconds()
	d.slowTokens *= slow
}

func (d *drainEstimate) add(tokens int64) {
	d.fastTokens += float64(tokens)
	d.slowTokens += float64(tokens)
	d.drained++
}

// rate returns tokens per second, or unknownRate. It returns the larger of the
// two estimates, so that a short standstill does not refuse requests that can
// still be served in time.
func (d *drainEstimate) rate() float64 {
	if d.drained < minDrainedRequests || d.slowSeconds < minObservedTime.Seconds() {
		return unknownRate
	}
	return max(d.fastTokens/d.fastSeconds, d.slowTokens/d.slowSeconds)
}
