package coldstart

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their fake times.
type clock struct {
	now    time.Duration
	serial int
	queue  eventQueue
}

type event struct {
	at time.Duration
	n  int
	f  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
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
	c.serial++
	heap.Push(&c.queue, event{at: max(t, c.now), n: c.serial, f: f})
}

func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// every repeats f until the given time.
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
