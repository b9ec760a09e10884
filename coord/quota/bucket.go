package quota

import "time"

// bucket is what one host holds of a limit.
//
// A reservation takes an estimate and later gives back the unused part m. A
// plain credit would break the bound: had less been taken, the bucket might
// have been full in between and gained nothing. The level that an ideal bucket
// would have now, had it been charged the final cost at once, is higher by
// min(m, least headroom since the reservation), headroom being capacity less
// tokens. So the bucket keeps the least headroom over segments of its past;
// a settlement credits no more, and lowers the headroom of those segments as
// the higher level would have. What is then admitted is admitted by the ideal
// bucket too, and that obeys the bound.
type bucket struct {
	rate   float64 // nanotokens a second
	cap    int64   // nanotokens
	tokens int64   // nanotokens, at most cap
	last   time.Duration
	past   history
}

// Mark is a position in the history of a bucket.
type Mark uint64

// noMark stands for a past without headroom.
const noMark Mark = 0

// minGain is the least accrual credited on the ordinary path, so that rounding
// down costs less than a hundred-thousandth of the rate however often it
// happens.
const minGain = 100_000 // nanotokens

// accrue credits the time since the last call. A clock that does not move on
// yields nothing.
func (b *bucket) accrue(now time.Duration) { b.accrueAbove(now, minGain) }

// accrueExact does the same, however small the gain. It comes before a change
// of rate and before a settlement.
func (b *bucket) accrueExact(now time.Duration) { b.accrueAbove(now, 1) }

func (b *bucket) accrueAbove(now time.Duration, least float64) {
	if now <= b.last {
		return
	}
	gain := b.rate * (now - b.last).Seconds()
	switch {
	case gain >= float64(b.cap-b.tokens):
		b.tokens = b.cap
	case gain < least && b.rate > 0:
		return
	default:
		b.tokens += int64(gain)
	}
	b.last = now
	b.past.note(b.cap - b.tokens)
}

// clip restores tokens <= cap after a change of either.
func (b *bucket) clip() {
	b.tokens = min(b.tokens, b.cap)
	b.past.note(b.cap - b.tokens)
}

// take reserves n, which must not exceed tokens.
func (b *bucket) take(n int64) Mark {
	b.tokens -= n
	return b.past.cut(b.cap - b.tokens)
}

// settle gives back the unused part of a reservation made at mark.
func (b *bucket) settle(unused int64, at Mark) {
	b.tokens += b.past.reduce(unused, at)
}

// historySize is the number of segments kept.
const historySize = 16

// history is the least headroom over segments of a bucket's past, oldest
// first. The values rise: a segment followed by one that is no higher tells
// nothing and is joined with it. So are the two that differ least when there
// are too many, which errs towards less headroom.
type history struct {
	seg [historySize]segment
	n   int
	pos Mark // of the newest segment
}

type segment struct {
	from  Mark
	least int64 // nanotokens
}

// note records the present headroom.
func (h *history) note(headroom int64) {
	if h.n == 0 {
		h.seg[0] = segment{from: h.pos, least: headroom}
		h.n = 1
		return
	}
	last := &h.seg[h.n-1]
	last.least = min(last.least, headroom)
	for h.n > 1 && h.seg[h.n-2].least >= h.seg[h.n-1].least {
		h.seg[h.n-2].least = h.seg[h.n-1].least
		h.n--
	}
}

// cut begins a segment after the headroom rose to the given value and returns
// its position.
func (h *history) cut(headroom int64) Mark {
	h.pos++
	if h.n == historySize {
		h.joinClosest()
	}
	h.seg[h.n] = segment{from: h.pos, least: headroom}
	h.n++
	h.note(headroom)
	return h.pos
}

// joinClosest joins the two neighbours that differ least. The lower value
// stands for both; a settlement may have lowered the later one below the other.
func (h *history) joinClosest() {
	drop, least := 1, h.gap(1)
	for i := 2; i < h.n; i++ {
		if gap := h.gap(i); gap < least {
			drop, least = i, gap
		}
	}
	h.seg[drop-1].least = min(h.seg[drop-1].least, h.seg[drop].least)
	copy(h.seg[drop:], h.seg[drop+1:h.n])
	h.n--
}

// gap returns what joining a segment with the one before it would cost.
func (h *history) gap(i int) int64 {
	return max(h.seg[i].least-h.seg[i-1].least, 0)
}

// reduce lowers the headroom from mark on by what unused tokens would have
// filled, and returns how much of them is left at the end.
func (h *history) reduce(unused int64, at Mark) int64 {
	first := 0
	for i := 1; i < h.n && h.seg[i].from <= at; i++ {
		first = i
	}
	for i := first; i < h.n; i++ {
		unused = min(unused, max(h.seg[i].least, 0))
		h.seg[i].least -= unused
	}
	return unused
}
