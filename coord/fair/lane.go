package fair

import (
	"container/list"
	"math"
	"time"
)

const (
	fastWindow   = 3 * time.Second  // memory of the fast drain estimate
	slowWindow   = 30 * time.Second // memory of the slow drain estimate
	minObserved  = 2 * time.Second  // waiting time seen before an estimate is trusted
	minDrained   = 8                // requests drained before an estimate is trusted
	optimism     = 1.5              // a request is refused only if even a drain this much faster is too slow
	minRetry     = time.Second
	maxRetry     = time.Minute
	unknownDrain = 0
)

// entry is a request in a queue.
type entry struct {
	Item
	lane  *lane
	level *level
	place *list.Element
	index int // in the deadline heap
}

// level holds the requests of one priority in order of arrival.
type level struct {
	priority int
	items    *list.List // of *entry
	tokens   int64
}

// lane holds the waiting requests of one team for one model.
type lane struct {
	team   *team
	model  string
	levels []*level // highest priority first, none empty
	count  int
	tokens int64
	drain  drain

	running int
	window  int  // by the last grant
	bounded bool // by the last grant
}

func (l *lane) push(e *entry) {
	i := 0
	for i < len(l.levels) && l.levels[i].priority > e.Priority {
		i++
	}
	if i == len(l.levels) || l.levels[i].priority != e.Priority {
		l.levels = append(l.levels, nil)
		copy(l.levels[i+1:], l.levels[i:])
		l.levels[i] = &level{priority: e.Priority, items: list.New()}
	}
	e.lane, e.level = l, l.levels[i]
	e.place = e.level.items.PushBack(e)
	e.level.tokens += e.Tokens
	l.tokens += e.Tokens
	l.count++
}

func (l *lane) remove(e *entry) {
	e.level.items.Remove(e.place)
	e.level.tokens -= e.Tokens
	l.tokens -= e.Tokens
	l.count--
	if e.level.items.Len() > 0 {
		return
	}
	for i, lv := range l.levels {
		if lv == e.level {
			l.levels = append(l.levels[:i], l.levels[i+1:]...)
			return
		}
	}
}

// head returns the next request; the lane is not empty.
func (l *lane) head() *entry { return l.levels[0].items.Front().Value.(*entry) }

// tail returns the last request; the lane is not empty.
func (l *lane) tail() *entry { return l.levels[len(l.levels)-1].items.Back().Value.(*entry) }

// ahead returns the tokens that go before a new request of a priority.
func (l *lane) ahead(priority int) int64 {
	var n int64
	for _, lv := range l.levels {
		if lv.priority >= priority {
			n += lv.tokens
		}
	}
	return n
}

// late returns the requests that will not have their turn by their deadline.
// It is called while the drain estimate is up to date.
func (l *lane) late(now time.Duration) []*entry {
	rate := l.drain.rate()
	if rate == unknownDrain {
		return nil
	}
	var out []*entry
	var ahead int64
	for _, lv := range l.levels {
		for el := lv.items.Front(); el != nil; el = el.Next() {
			e := el.Value.(*entry)
			if wait(ahead, rate*optimism) > e.Deadline-now {
				out = append(out, e)
				continue
			}
			ahead += e.Tokens
		}
	}
	return out
}

// retryAfter returns the time in which the lane drains, within bounds.
func (l *lane) retryAfter() time.Duration {
	rate := l.drain.rate()
	if rate == unknownDrain {
		return minRetry
	}
	return min(max(wait(l.tokens, rate), minRetry), maxRetry)
}

// wait returns tokens / rate, without overflow.
func wait(tokens int64, rate float64) time.Duration {
	s := float64(tokens) / rate
	if s > maxRetry.Seconds()*60 {
		s = maxRetry.Seconds() * 60
	}
	return time.Duration(s * float64(time.Second))
}

// drain estimates how fast a lane drains, from the times in which requests
// were waiting in it.
type drain struct {
	at           time.Duration // of the last update
	fastT, slowT float64       // seconds of waiting, decayed
	fastN, slowN float64       // tokens, decayed
	count        int
}

// advance decays the sums up to now. Time in which nothing waited leaves the
// estimate as it is: it says nothing about how fast the lane could drain.
func (d *drain) advance(now time.Duration, waiting bool) {
	dt := now - d.at
	d.at = now
	if !waiting || dt <= 0 {
		return
	}
	fast := math.Exp(-dt.Seconds() / fastWindow.Seconds())
	slow := math.Exp(-dt.Seconds() / slowWindow.Seconds())
	d.fastT = d.fastT*fast + dt.Seconds()
	d.fastN *= fast
	d.slowT = d.slowT*slow + dt.Seconds()
	d.slowN *= slow
}

func (d *drain) add(tokens int64) {
	d.fastN += float64(tokens)
	d.slowN += float64(tokens)
	d.count++
}

// rate returns tokens a second, or unknownDrain. The larger estimate counts:
// a short standstill must not refuse what can still be served.
func (d *drain) rate() float64 {
	if d.count < minDrained || d.slowT < minObserved.Seconds() {
		return unknownDrain
	}
	return max(d.fastN/d.fastT, d.slowN/d.slowT)
}
