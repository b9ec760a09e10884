package permit

import "time"

// Times of the hosts that ask one issuer.
const (
	// memberTime is how long a host counts after its last report, and for how long it must have reported before it
	// counts. A host reports to one coordinating host at a time, so that it never counts at two. Hosts on small
	// machines report every 0.8 s.
	memberTime = time.Second
	// listedTime is how long a host that has left the list of hosts still counts as one that may ask elsewhere: groups
	// of hosts that are cut off from each other take each other's entries off the list, and restore their own.
	listedTime = 30 * time.Second
	// partialDelay is how long after its start an issuer issues nothing to a part of the hosts: the others may not
	// have read of its host yet.
	partialDelay = 10 * time.Second
	// partialStoreAge is the age of the store's last answer from which on an issuer does the same, as the others may
	// have taken its host off the list.
	partialStoreAge = 5 * time.Second
)

// Members counts the hosts that report to this one, for the part of the limits that it issues. The parts of all issuers
// sum to at most 1, however hosts change from one to another. It is not safe for concurrent use.
type Members struct {
	start  time.Duration
	hosts  map[string]member
	listed map[string]time.Duration // when each host was last on the list
}

type member struct{ since, last time.Duration }

// NewMembers returns Members of a host that starts now.
func NewMembers(now time.Duration) *Members {
	return &Members{start: now, hosts: map[string]member{}, listed: map[string]time.Duration{}}
}

// Report records a report. It is a first one if the host has reported to another one since the last, or has restarted.
func (m *Members) Report(now time.Duration, host string, first bool) {
	h, known := m.hosts[host]
	if first || !known || now-h.last > memberTime {
		h.since = now
	}
	h.last = now
	m.hosts[host] = h
}

// List records which hosts are on the list.
func (m *Members) List(now time.Duration, names func(yield func(string) bool)) {
	for name := range names {
		m.listed[name] = now
	}
}

// Share returns which part of each limit this host may issue now, and whether that is 0 only because no host has reported
// for long enough. storeAge is the time since the store answered.
func (m *Members) Share(now, storeAge time.Duration) (share float64, settling bool) {
	counted := 0
	for host, h := range m.hosts {
		switch {
		case now-h.last > memberTime:
			delete(m.hosts, host)
		case h.last-h.since >= memberTime:
			counted++
		}
	}
	for host, at := range m.listed {
		if now-at > listedTime {
			delete(m.listed, host)
		}
	}
	all := len(m.listed)
	for host := range m.hosts {
		if _, listed := m.listed[host]; !listed {
			all++
		}
	}
	switch {
	case counted == 0 || len(m.listed) == 0:
		return 0, true
	case counted < all && (now-m.start < partialDelay || storeAge > partialStoreAge):
		return 0, false
	}
	return float64(counted) / float64(all), false
}
