package quota

import "sort"

// OrphanTracker finds the limits whose home is gone and tracks when they may be assigned to
// another. No decision depends on time:
//
//   - A home is gone if a host list of the platform, read after the ledger, lacks its name. A
//     host is assigned limits only while it is listed, so its absence means that the platform
//     removed it.
//   - A host knows that earlier runs under its own name have ended.
//   - Before a limit is assigned again, every listed host has acknowledged that it holds nothing
//     borrowed from the former home (Limit.Release). Homes lend to listed hosts only, so no
//     borrower is missed.
//
// The assignment itself is a write conditional on the ledger that was read first.
type OrphanTracker struct {
	self ID
	acks map[ID]map[string]bool
}

// NewOrphanTracker returns the tracker of one host.
func NewOrphanTracker(self ID) *OrphanTracker {
	return &OrphanTracker{self: self, acks: make(map[ID]map[string]bool)}
}

// Orphans returns the orphaned limits that this host is responsible for, by former home. Listed
// holds the names in the platform's host list, which must be read after the ledger. Pick returns
// the name of the host that should be the home of a limit.
func (t *OrphanTracker) Orphans(ledger Ledger, listed map[string]bool, pick func(limit string) string) map[ID][]string {
	orphans := make(map[ID][]string)
	for name, a := range ledger.Limits {
		if t.isResponsible(name, a, listed, pick) {
			orphans[a.Home] = append(orphans[a.Home], name)
		}
	}
	for home := range t.acks {
		if _, ok := orphans[home]; !ok {
			delete(t.acks, home)
		}
	}
	for _, names := range orphans {
		sort.Strings(names)
	}
	return orphans
}

func (t *OrphanTracker) isResponsible(name string, a Assignment, listed map[string]bool, pick func(string) string) bool {
	if a.Home.Name == t.self.Name {
		return a.Home != t.self
	}
	return !listed[a.Home.Name] && pick(name) == t.self.Name
}

// Ack records that the named host holds nothing borrowed from home and will not borrow from it
// again.
func (t *OrphanTracker) Ack(home ID, host string) {
	if t.acks[home] == nil {
		t.acks[home] = make(map[string]bool)
	}
	t.acks[home][host] = true
}

// MissingAcks returns the listed hosts that have not acknowledged yet, sorted.
func (t *OrphanTracker) MissingAcks(home ID, listed map[string]bool) []string {
	var missing []string
	for host := range listed {
		if !t.acks[home][host] {
			missing = append(missing, host)
		}
	}
	sort.Strings(missing)
	return missing
}
