package routing

import "time"

// Quota is the number of slots at a target that a coordinator set aside for
// this host, and that it left for all hosts.
type Quota struct {
	Target string
	Own    int
	Common int
}

// SetQuotas replaces the quotas of a pool until the given moment. While they
// hold, a free slot of this host's own costs nothing whatever the reports say,
// so that hosts do not queue behind one another at a target.
func (t *Table) SetQuotas(pool string, quotas []Quota, until time.Duration) {
	for _, h := range t.quotas[pool] {
		t.states[h].quota, t.states[h].common = 0, 0
	}
	list := t.quotas[pool][:0]
	for _, q := range quotas {
		h, ok := t.byName[q.Target]
		if !ok {
			continue
		}
		t.states[h].quota, t.states[h].common = q.Own, q.Common
		list = append(list, h)
	}
	t.quotas[pool], t.quotaEnd[pool] = list, until
}

// considerQuota looks for targets where this host has a free slot.
func (t *Table) considerQuota(now time.Duration, q Query, g *group, slot *prefixSlot, d *Decision, all bool) {
	list := t.quotas[q.Pool]
	if len(list) == 0 || now >= t.quotaEnd[q.Pool] {
		return
	}
	at := t.rng.IntN(len(list))
	taken := 0
	for range min(len(list), quotaScan) {
		h := list[at]
		if at++; at == len(list) {
			at = 0
		}
		s := t.states[h]
		if s.removed || s.quota+s.common <= s.inflight || !s.has(g) {
			continue
		}
		t.consider(now, q, g, slot, h, d, all)
		if taken++; taken == quotaTake {
			return
		}
	}
}

// Inflight returns the number of this host's requests at a target.
func (t *Table) Inflight(name string) int {
	if h, ok := t.byName[name]; ok {
		return t.states[h].inflight
	}
	return 0
}
