package coordinator

import (
	"slices"
	"sync"
	"time"
)

// unloadTimes knows how long the unloads of recent moves took. An engine refuses the load that follows an unload until
// the unload is done, so an earlier attempt is a call for nothing.
type unloadTimes struct {
	mu     sync.Mutex
	recent map[string][]time.Duration // by service, the latest last
}

// recentUnloads is the number of unloads whose shortest time is expected of the next one. Engines of one service differ in speed.
const recentUnloads = 32

// record adds the time between the acceptance of an unload and that of the load after it.
func (u *unloadTimes) record(service string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.recent == nil {
		u.recent = map[string][]time.Duration{}
	}
	times := append(u.recent[service], took)
	u.recent[service] = times[max(0, len(times)-recentUnloads):]
}

// least returns the shortest time of a recent unload; 0 before the first one. The attempt that was accepted came up to
// orderRetryInterval after the end of its unload.
func (u *unloadTimes) least(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.recent[service]) == 0 {
		return 0
	}
	return max(0, slices.Min(u.recent[service])-orderRetryInterval)
}
