package quota

import "time"

// bucket holds one host's part of a limit.
//
// A reservation takes an estimate and later returns the unused tokens m. Adding m to the level
// could break the bound: had less been taken in the first place, the bucket might have been full
// in between and might have gained nothing. An ideal bucket that is charged the final cost at once
// would now hold min(m, least headroom since the reservation) tokens more, where headroom is
// capacity less tokens. The bucket therefore keeps the least headroom of segments of its past. A
// settlement credits at most that minimum and lowers the headroom of these segments, as the higher
// level would have. Whatever is admitted after that is admitted by the ideal bucket too, which
// obeys the bound.
type bucket struct {
	rate        float64 // nanotokens a second
	cap         int64   // nanotokens
	tokens      int64   // nanotokens, at most cap
	lastAccrual time.Duration
	history     history
}

// Mark is a position in the history of a bucket.
type Mark uint64

// noMark stands for a history without headroom.
const noMark Mark = 0

// minGain is the least amount that accrue credits. It keeps the loss from rounding down below a
// hundred-thousandth of the rate, however often accrue is called.
const minGain = 100_000 // nanotokens

// accrue credits the time since the last call. It does nothing if the clock has not advanced.
func (b *bucket) accrue(now time.Duration) { b.accrueAtLeast(now, minGain) }

// accrueExact is like accrue but also credits gains below minGain. It must precede a change of
// rate and a settlement.
func (b *bucket) accrueExact(now time.Duration) { b.accrueAtLeast(now, 1) }

func (b *bucket) accrueAtLeast(now time.Duration, least float64) {
	if now <= b.lastAccrual {
		return
	}
	gain := b.rate * (now - b.lastAccrual).Seconds()
	switch {
	case gain >= float64(b.cap-b.tokens):
		b.tokens = b.cap
	case gain < least && b.rate > 0:
		return
	default:
		b.tokens += int64(gain)
	}
	b.lastAccrual = now
	b.history.record(b.cap - b.tokens)
}

// clip restores tokens <= cap after either has changed.
func (b *bucket) clip() {
	b.tokens = min(b.tokens, b.cap)
	b.history.record(b.cap - b.tokens)
}

// take reserves n, which must not exceed tokens.
func (b *bucket) take(n int64) Mark {
	b.tokens -= n
	return b.history.startSegment(b.cap - b.tokens)
}

// settle credits the unused part of a reservation made at the given mark, as far as there was
// headroom for it.
func (b *bucket) settle(unused int64, mark Mark) {
	b.tokens += b.history.reduce(unused, mark)
}

// historySize is the number of segments kept.
const historySize = 16

// history is the least headroom in segments of a bucket's past, oldest first. The values rise: a
// segment followed by one that is no higher has no effect and is merged with it. When there are
// too many segments, the two neighbours that differ least are merged, which can only underestimate
// the headroom.
type history struct {
	segments [historySize]segment
	count    int
	pos      Mark // of the newest segment
}

type segment struct {
	from        Mark
	minHeadroom int64 // nanotokens
}

// record applies the current headroom to the newest segment.
func (h *history) record(headroom int64) {
	if h.count == 0 {
		h.segments[0] = segment{from: h.pos, minHeadroom: headroom}
		h.count = 1
		return
	}
	last := &h.segments[h.count-1]
	last.minHeadroom = min(last.minHeadroom, headroom)
	for h.count > 1 && h.segments[h.count-2].minHeadroom >= h.segments[h.count-1].minHeadroom {
		h.segments[h.count-2].minHeadroom = h.segments[h.count-1].minHeadroom
		h.count--
	}
}

// startSegment begins a segment after the headroom rose to the given value and returns its
// position.
func (h *history) startSegment(headroom int64) Mark {
	h.pos++
	if h.count == historySize {
		h.mergeClosest()
	}
	h.segments[h.count] = segment{from: h.pos, minHeadroom: headroom}
	h.count++
	h.record(headroom)
	return h.pos
}

// mergeClosest merges the two neighbouring segments that differ least and keeps the lower value.
// This may be that of the later one, which a settlement may have lowered.
func (h *history) mergeClosest() {
	drop, least := 1, h.gap(1)
	for i := 2; i < h.count; i++ {
		if gap := h.gap(i); gap < least {
			drop, least = i, gap
		}
	}
	h.segments[drop-1].minHeadroom = min(h.segments[drop-1].minHeadroom, h.segments[drop].minHeadroom)
	copy(h.segments[drop:], h.segments[drop+1:h.count])
	h.count--
}

// gap returns the headroom lost by merging segment i with the one before it.
func (h *history) gap(i int) int64 {
	return max(h.segments[i].minHeadroom-h.segments[i-1].minHeadroom, 0)
}

// reduce lowers the headroom since the given mark by what the unused tokens would have filled. It
// returns how many of them can be credited now.
func (h *history) reduce(unused int64, mark Mark) int64 {
	first := 0
	for i := 1; i < h.count && h.segments[i].from <= mark; i++ {
		first = i
	}
	for i := first; i < h.count; i++ {
		unused = min(unused, max(h.segments[i].minHeadroom, 0))
		h.segments[i].minHeadroom -= unused
	}
	return unused
}
