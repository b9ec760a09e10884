package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixSlots   = 1 << 14 // prefixes remembered
	prefixHolders = 3       // targets remembered for each
)

// prefixes remembers which targets have a prompt prefix cached, in a table of
// fixed size in which a newer prefix replaces an older one of the same slot.
type prefixes struct {
	slots []prefixSlot
}

type prefixSlot struct {
	key     uint64
	holders [prefixHolders]holder
	next    uint8 // holder to replace
}

// holder is a target that had the prefix. Gaps is the target's number of gaps
// in its events at the time: an eviction may have been missed since.
type holder struct {
	target Handle
	gaps   uint32
	known  bool
}

func newPrefixes() prefixes { return prefixes{slots: make([]prefixSlot, prefixSlots)} }

// prefixKey mixes model and prefix, since a prefix is cached for each model.
func prefixKey(model string, prefix uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(model))
	binary.LittleEndian.PutUint64(buf[8:], prefix)
	return xxhash.Sum64(buf[:])
}

func (p *prefixes) slot(key uint64) *prefixSlot { return &p.slots[key%prefixSlots] }

// find returns the slot of a prefix, nil if it is not known.
func (p *prefixes) find(model string, prefix uint64) *prefixSlot {
	key := prefixKey(model, prefix)
	if s := p.slot(key); s.key == key {
		return s
	}
	return nil
}

func (p *prefixes) store(model string, prefix uint64, h Handle, gaps uint32) {
	key := prefixKey(model, prefix)
	s := p.slot(key)
	if s.key != key {
		*s = prefixSlot{key: key}
	}
	for i := range s.holders {
		if s.holders[i].known && s.holders[i].target == h {
			s.holders[i].gaps = gaps
			return
		}
	}
	s.holders[s.next] = holder{target: h, gaps: gaps, known: true}
	s.next = (s.next + 1) % prefixHolders
}

func (p *prefixes) evict(model string, prefix uint64, h Handle) {
	s := p.find(model, prefix)
	if s == nil {
		return
	}
	for i := range s.holders {
		if s.holders[i].target == h {
			s.holders[i].known = false
		}
	}
}

// ApplyCacheEvents takes over events of a target. A jump of the sequence means that
// events were missed: what was known of the target's cache counts half from
// then on.
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
			t.prefix.store(e.Model, e.Prefix, h, s.eventGaps)
		} else {
			t.prefix.evict(e.Model, e.Prefix, h)
		}
	}
}

// RecordRestart forgets the sequence of a target's events, and with it the cache
// that a restart emptied.
func (t *Table) RecordRestart(name string) {
	h, ok := t.byName[name]
	if !ok {
		return
	}
	t.states[h].eventSeq = 0
	t.states[h].eventGaps += forgottenGaps
}

// forgottenGaps is the number of gaps after which a holder counts for nothing.
const forgottenGaps = 8

// confidence is the chance that a holder still has the prefix, from 1 down.
func (h holder) confidence(s *state) float64 {
	gaps := s.eventGaps - h.gaps
	if gaps >= forgottenGaps {
		return 0
	}
	return 1 / float64(uint32(1)<<gaps)
}
