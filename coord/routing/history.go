package routing

import "time"

const (
	historyStep = 128 * time.Millisecond
	historySize = 16 // covers about two seconds
)

// history is a ring buffer with the number of requests that this host had at a
// target over the last two seconds. It is used to split a delayed report into the
// load of this host and the load of the others.
type history struct {
	step  [historySize]int32 // number of the time step, 0 if unused
	value [historySize]int32 // number of requests at the end of the step
	last  int32              // latest step with a change
	base  int32              // value before the oldest step kept
}

func (h *history) set(now time.Duration, n int) {
	step := int32(now/historyStep) + 1
	i := step % historySize
	if h.step[i] != step {
		h.base = h.value[i]
	}
	h.step[i], h.value[i] = step, int32(n)
	h.last = step
}

// at returns the number of requests at an earlier time; current is the present
// number.
func (h *history) at(then time.Duration, current int) int {
	step := int32(then/historyStep) + 1
	if step >= h.last {
		return current
	}
	found, n := int32(0), h.base
	for i, s := range h.step {
		if s > found && s <= step {
			found, n = s, h.value[i]
		}
	}
	return int(n)
}
