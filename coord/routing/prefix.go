package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixSlots      = 1 << 14 // number of prefixes tracked
	holdersPerPrefix = 3       // number of targets tracked per prefix
)

// prefixIndex records which targets have a prompt prefix cached. It is a hash table
// of fixed size in which a new prefix replaces an older one in the same slot.
type prefixIndex struct {
	slots []prefixSlot
}

type prefixSlot struct {
	key     uint64
	holders [holdersPerPrefix]cacheHolder
	next    uint8 // index of the holder to replace next
}

// cacheHolder is a target that had the prefix cached. Gaps is the value of the
// target's eventGaps at that time: each later gap may hide an eviction.
type cacheHolder struct {
	target Handle
	gaps   uint32
	valid  bool
}

func newPrefixIndex() prefixIndex { return prefixIndex{slots: make([]prefixSlot, prefixSlots)} }

// prefixKey hashes model and prefix together, since caches are separate per model.
func prefixKey(model string, prefix uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(model))
	binary.LittleEndian.PutUint64(buf[8:], prefix)
	return xxhash.Sum64(buf[:])
}

func (p *prefixIndex) slot(key uint64) *prefixSlot { return &p.slots[key%prefixSlots] }

// find returns the slot of a prefix, or nil if the prefix is unknown.
func (p *prefixIndex) find(model string, prefix uint64) *prefixSlot {
	key := prefixKey(model, prefix)
	if s := p.slot(key); s.key == key {
		return s
	}
	return nil
}

func (p *prefixIndex) store(model string, prefix uint64, h Handle, gaps uint32) {
	key := prefixKey(model, prefix)
	s := p.slot(key)
	if s.key != key {
		*s = prefixSlot{key: key}
	}
	for i := range s.holders {
		if s.holders[i].valid && s.holders[i].target == h {
			s.holders[i].gaps = gaps
			return
		}
	}
	s.holders[s.next] = cacheHolder{target: h, gaps: gaps, valid: true}
	s.next = (s.next + 1) % holdersPerPrefix
}

func (p *prefixIndex) evict(model string, prefix uint64, h Handle) {
	s := p.find(model, prefix)
	if s == nil {
		return
	}
	for i := range s.holders {
		if s.holders[i].target == h {
			s.holders[i].valid = false
		}
	}
}

// ApplyCacheEvents applies cache events of a target. A gap in the sequence numbers
// means that events were lost, which halves the confidence in everything recorded
// about the target's cache before.
func (t *Table) ApplyCacheEvents(name string, events []CacheEvent) {
	h, ok := t.byName[name]
	if !ok {
		return
	}
	s := t.states[h]
	for _, e := range events {
		if e.Sequence <= s.eventSeq {
			continue
		}
		if s.eventSeq != 0 && e.Sequence > s.eventSeq+1 {
			s.eventGaps++
		}
		s.eventSeq = e.Sequence
		if e.Stored {
			t.prefixes.store(e.Model, e.Prefix, h, s.eventGaps)
		} else {
			t.prefixes.evict(e.Model, e.Prefix, h)
		}
	}
}

// RecordRestart resets the event sequence of a target and invalidates the records
// about its cache, which the restart has emptied.
func (t *Table) RecordRestart(name string) {
	h, ok := t.byName[name]
	if !ok {
		return
	}
	t.states[h].eventSeq = 0
	t.states[h].eventGaps += maxGaps
}

// maxGaps is the number of gaps after which a holder is ignored.
const maxGaps = 8

// confidence returns the assumed probability that the holder still has the prefix:
// 1 without gaps, halved by each gap.
func (h cacheHolder) confidence(s *targetState) float64 {
	gaps := s.eventGaps - h.gaps
	if gaps >= maxGaps {
		return 0
	}
	return 1 / float64(uint32(1)<<gaps)
}
