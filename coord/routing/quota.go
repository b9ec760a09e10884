package routing

import "time"

// Quota holds the numbers of slots at a target that the coordinator has reserved for
// this host (Own) and left for use by any host (Common).
type Quota struct {
	Target string
	Own    int
	Common int
}

// SetQuotas replaces the quotas of a pool until the given time. While they hold, a
// free slot reserved for this host has no wait cost regardless of load reports, so
// that hosts do not queue behind one another at a target.
func (t *Table) SetQuotas(pool string, quotas []Quota, until time.Duration) {
	for _, h := range t.quotas[pool] {
		t.states[h].quota, t.states[h].sharedQuota = 0, 0
	}
	list := t.quotas[pool][:0]
	for _, q := range quotas {
		h, ok := t.byName[q.Target]
		if !ok {
			continue
		}
		t.states[h].quota, t.states[h].sharedQuota = q.Own, q.Common
		list = append(list, h)
	}
	t.quotas[pool], t.quotaEnd[pool] = list, until
}

// addQuotaCandidates adds targets where the quotas leave this host a free slot. The
// search starts at a random target.
func (t *Table) addQuotaCandidates(now time.Duration, q Query, g *group, slot *prefixSlot, d *Decision, all bool) {
	list := t.quotas[q.Pool]
	if len(list) == 0 || now >= t.quotaEnd[q.Pool] {
		return
	}
	at := t.rng.IntN(len(list))
	added := 0
	for range min(len(list), maxQuotaScan) {
		h := list[at]
		if at++; at == len(list) {
			at = 0
		}
		s := t.states[h]
		if s.removed || s.quota+s.sharedQuota <= s.inflight || !s.inGroup(g) {
			continue
		}
		t.addCandidate(now, q, g, slot, h, d, all)
		if added++; added == maxQuotaCandidates {
			return
		}
	}
}

// Inflight returns the number of requests that this host has at a target.
func (t *Table) Inflight(name string) int {
	if h, ok := t.byName[name]; ok {
		return t.states[h].inflight
	}
	return 0
}
