package crashcause

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Times of blocks.
const (
	firstProbeWait = time.Minute // from the last failure to the first request that is admitted again
	maxProbeWait   = time.Hour
	probeTime      = 10 * time.Second // in which a request admitted again has been completed or not
	blockTTL       = 24 * time.Hour   // without a failure
	maxBlocks      = 256
)

// block holds back requests with a part.
type block struct {
	since, last     time.Duration // last: when a target last failed under the part
	failedProbes    int
	probing         time.Duration // a request was admitted again and may be running until then
	fromCoordinator bool
	version         uint64
}

// probeAt returns when a request is admitted again.
func (b *block) probeAt() time.Duration {
	wait := firstProbeWait
	for n := b.failedProbes; n > 0 && wait < maxProbeWait; n-- {
		wait = min(2*wait, maxProbeWait)
	}
	return max(b.last+wait, b.probing)
}

// Change is a block of a part or its end.
type Change struct {
	Part    string
	Blocked bool
	Targets int // that failed under the part
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// block reports whether there was room for another block.
func (t *Tracker) block(now time.Duration, c candidate) bool {
	b := &block{since: now}
	for _, f := range c.failures {
		b.last = max(b.last, f.broke)
	}
	return t.addBlock(c.part, b)
}

func (t *Tracker) addBlock(part string, b *block) bool {
	if len(t.blocks) >= maxBlocks {
		return false
	}
	t.version++
	b.version = t.version
	t.blocks[strings.Clone(part)] = b
	t.changes = append(t.changes, Change{Part: part, Blocked: true, Targets: len(t.failures[part])})
	return true
}

// countForBlock applies a new failure to the block of its part, if there is one. Requests that were sent
// before the block may still fail for a while; later failures are those of probes.
func (t *Tracker) countForBlock(part string, f failure) {
	b := t.blocks[part]
	if b == nil || f.refuted {
		return
	}
	if f.sent > b.since+probeTime {
		b.failedProbes++
	}
	t.version++
	b.last, b.version, b.fromCoordinator = max(b.last, f.broke), t.version, f.fromCoordinator
}

// releaseIfCompleted ends the block of a part that a target completed after its last failure.
func (t *Tracker) releaseIfCompleted(part string) {
	b := t.blocks[part]
	if b == nil || t.lastCompletion(part) <= b.last {
		return
	}
	delete(t.blocks, part)
	t.changes = append(t.changes, Change{Part: part, Targets: len(t.failures[part])})
}

// Check returns the first blocked part of a request. If mayProbe agrees, a request with a blocked part is
// admitted once in a while, and the result is empty.
func (t *Tracker) Check(now time.Duration, parts []string, mayProbe func(part string) bool) (blocked string) {
	probes := []*block(nil)
	for _, part := range parts {
		b := t.blocks[part]
		switch {
		case b == nil:
		case now-b.last > blockTTL:
			delete(t.blocks, part)
		case now < b.probeAt() || !mayProbe(part):
			return part
		default:
			probes = append(probes, b)
		}
	}
	for _, b := range probes {
		b.probing = now + probeTime
	}
	return ""
}

// Times of holds.
const (
	holdTime        = time.Second // after a failure
	minHoldFailures = 2
)

// HoldUntil returns until when a request should wait because a part of it may crash targets: some have failed
// under it just now, and too few requests with it were completed. 0: no part may. Until more is known, no further
// target should be put at risk.
func (t *Tracker) HoldUntil(now time.Duration, parts []string) (until time.Duration) {
	for _, part := range parts {
		if len(t.failures[part]) < minHoldFailures {
			continue
		}
		done := t.all(now, part)
		n, last := 0, time.Duration(0)
		for _, f := range t.failures[part] {
			if !f.refuted && f.broke > done.last {
				n, last = n+1, max(last, f.broke)
			}
		}
		if n >= minHoldFailures && float64(n) > done.weight {
			until = max(until, last+holdTime)
		}
	}
	return until
}

// StoredBlock is what outlasts a restart of all hosts.
type StoredBlock struct {
	Part         string `json:"part"`
	FailedProbes int    `json:"failed_probes"`
}

// Blocks returns all blocks, by part.
func (t *Tracker) Blocks() []StoredBlock {
	out := []StoredBlock{}
	for part, b := range t.blocks {
		out = append(out, StoredBlock{Part: part, FailedProbes: b.failedProbes})
	}
	slices.SortFunc(out, func(a, b StoredBlock) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Restore adds blocks that were stored. When their targets last failed is not known, so they count as new.
func (t *Tracker) Restore(now time.Duration, stored []StoredBlock) {
	for _, s := range stored {
		if t.blocks[s.Part] == nil && t.lastCompletion(s.Part) == 0 {
			t.addBlock(s.Part, &block{since: now, last: now, failedProbes: max(0, s.FailedProbes)})
		}
	}
}
