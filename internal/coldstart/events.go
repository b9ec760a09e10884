package coldstart

import (
	"container/heap"
	"time"
)

// clock is a simulated clock that runs functions in the order of their times.
type clock struct {
	now     time.Duration
	lastSeq int
	queue   eventQueue
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (c *clock) at(t time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{at: max(t, c.now), seq: c.lastSeq, f: f})
}

func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// every runs f at once and then at intervals of d until the given time.
func (c *clock) every(d, until time.Duration, f func()) {
	if c.now > until {
		return
	}
	f()
	c.after(d, func() { c.every(d, until, f) })
}

func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.f()
	}
}
