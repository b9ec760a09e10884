package quota

import "sort"

// OrphanTracker finds the limits whose home is gone and says when they may be given
// to another. It decides nothing by time:
//
//   - A home is gone if a list of the platform, read after the ledger was,
//     lacks its name. A home is granted limits only while it is listed, so
//     absence means that the platform took it off.
//   - A host knows by itself that former runs of its own name have ended.
//   - Before a limit is granted again, every listed host has acknowledged that
//     it holds nothing borrowed from the former home (Limit.Release). Homes
//     lend to listed hosts only, so no borrower is missed.
//
// The grant itself is a conditional write on the ledger that was read first.
type OrphanTracker struct {
	self ID
	acks map[ID]map[string]bool
}

// NewOrphanTracker returns the steward of one host.
func NewOrphanTracker(self ID) *OrphanTracker {
	return &OrphanTracker{self: self, acks: make(map[ID]map[string]bool)}
}

// Orphans returns the limits that this host has to see to, by former home.
// Listed holds the names of the platform's list, which was read after the
// ledger. Pick returns the name of the host that should be home of a limit.
func (s *OrphanTracker) Orphans(ledger Ledger, listed map[string]bool, pick func(limit string) string) map[ID][]string {
	orphans := make(map[ID][]string)
	for name, g := range ledger.Limits {
		if s.inCharge(name, g, listed, pick) {
			orphans[g.Home] = append(orphans[g.Home], name)
		}
	}
	for home := range s.acks {
		if _, ok := orphans[home]; !ok {
			delete(s.acks, home)
		}
	}
	for _, names := range orphans {
		sort.Strings(names)
	}
	return orphans
}

func (s *OrphanTracker) inCharge(name string, g Assignment, listed map[string]bool, pick func(string) string) bool {
	if g.Home.Name == s.self.Name {
		return g.Home != s.self
	}
	return !listed[g.Home.Name] && pick(name) == s.self.Name
}

// Ack records that the host of that name holds nothing borrowed from home and
// never will again.
func (s *OrphanTracker) Ack(home ID, host string) {
	if s.acks[home] == nil {
		s.acks[home] = make(map[string]bool)
	}
	s.acks[home][host] = true
}

// MissingAcks returns the listed hosts that have not acknowledged yet, sorted.
func (s *OrphanTracker) MissingAcks(home ID, listed map[string]bool) []string {
	var missing []string
	for host := range listed {
		if !s.acks[home][host] {
			missing = append(missing, host)
		}
	}
	sort.Strings(missing)
	return missing
}
