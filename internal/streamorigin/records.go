package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the records of a host.
const (
	// retention is the shortest time for which a record is kept. It exceeds the time in which a caller
	// may resume a stream.
	retention = 30 * time.Second
	// maxRecords is the number of records after which the older half is dropped early.
	maxRecords = 20_000
)

// streamKey identifies a stream by a hash of the ID of the attempt that began it.
type streamKey uint64

func keyOf(attempt string) streamKey { return streamKey(xxhash.Sum64String(attempt)) }

// record tells which software version began a stream.
type record struct {
	Key     streamKey `json:"k"`
	Service string    `json:"s"`
	Version string    `json:"v"`
}

// records holds the records of the last retention or somewhat longer, in two generations: when the current
// one is old or full, it replaces the previous one.
type records struct {
	current, previous map[streamKey]record
	rotatedAt         time.Duration
}

func newRecords(now time.Duration) *records {
	return &records{current: map[streamKey]record{}, previous: map[streamKey]record{}, rotatedAt: now}
}

func (r *records) put(rec record, now time.Duration) {
	r.rotate(now)
	r.current[rec.Key] = rec
}

func (r *records) get(key streamKey, now time.Duration) (record, bool) {
	r.rotate(now)
	if rec, ok := r.current[key]; ok {
		return rec, true
	}
	rec, ok := r.previous[key]
	return rec, ok
}

func (r *records) rotate(now time.Duration) {
	switch {
	case now-r.rotatedAt >= 2*retention:
		r.previous = map[streamKey]record{}
	case now-r.rotatedAt >= retention, len(r.current) >= maxRecords/2:
		r.previous = r.current
	default:
		return
	}
	r.current, r.rotatedAt = map[streamKey]record{}, now
}
