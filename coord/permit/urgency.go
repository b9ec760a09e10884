package permit

import "time"

// maxPriority is the least urgent priority that is told apart.
const maxPriority = 9

// soon is how much time to its objective makes a request more urgent than others of its priority: about what one that is
// denied a permit waits before it asks again.
const soon = 300 * time.Millisecond

// Level returns how urgent a request is that is due after a time, negative if it is late, and has a priority, of which 0 is
// the most urgent. Lower levels go first: requests that can still begin in time before late ones, then by priority, then
// those that are due soon.
func Level(due time.Duration, priority int) int {
	level := 2 * min(max(priority, 0), maxPriority)
	if due < 0 {
		return level + 2*(maxPriority+1)
	}
	if due > soon {
		level++
	}
	return level
}
