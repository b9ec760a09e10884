package crashcause

import (
	"cmp"
	"slices"
	"time"
)

// Evidence is what one host tells another one. All times are ages in ms at the time of sending.
type Evidence struct {
	Failures    []FailureRecord    `json:"f,omitempty"`
	Completions []CompletionRecord `json:"c,omitempty"`
	Blocks      []BlockRecord      `json:"b,omitempty"`
	// Incomplete names targets that broke off requests with more parts than the sender keeps.
	Incomplete []string `json:"u,omitempty"`
	More       bool     `json:"m,omitempty"` // further records follow
}

// maxFailureRecords limits the failures in one message. When the coordinating host changes, all hosts exchange all they know with the
// new one, which must be able to reply in time.
const maxFailureRecords = 512

// maxCompletionRecords limits the completions in one message. Those of the parts that have failed most come first.
const maxCompletionRecords = 512

// FailureRecord tells that a target broke off requests with a part.
type FailureRecord struct {
	Part     string `json:"p"`
	Target   string `json:"t"`
	SentMS   int64  `json:"s"`
	BrokeMS  int64  `json:"b"`
	Position int32  `json:"i,omitempty"`
	Refuted  bool   `json:"r,omitempty"`
	Request  uint32 `json:"q,omitempty"` // which request it was; 0: several, or not known
}

// CompletionRecord is the weight of the completions of a part.
type CompletionRecord struct {
	Part   string  `json:"p"`
	Weight float64 `json:"w"`
	LastMS int64   `json:"l"`
}

// BlockRecord is a block of a part.
type BlockRecord struct {
	Part         string `json:"p"`
	SinceMS      int64  `json:"s"`
	LastMS       int64  `json:"l"`
	FailedProbes int    `json:"n,omitempty"`
}

// Direction tells which way evidence goes.
type Direction int

// The directions.
const (
	ToCoordinator Direction = iota // what this host learned from it is left out
	ToHost
)

// Cursor holds what was sent to one receiver. The zero value means nothing.
type Cursor struct {
	version       uint64                   // up to which records were sent, apart from the backlog
	backlog       uint64                   // up to which failures known at the first message are still to be sent
	completions   map[string]time.Duration // by part, the last one that was sent
	completionsAt time.Duration            // when completions were last looked for
}

// Changes returns the evidence that a receiver has not been sent, or nil if there is none. A receiver with an
// unused cursor is sent all, the newest first, if need be in several messages. The coordinating host gets all failures, the others
// only those of parts that failed at several targets: a part that failed once can neither be blocked nor explain anything.
func (t *Tracker) Changes(now time.Duration, cursor *Cursor, to Direction) *Evidence {
	var e Evidence
	if cursor.version < t.version || cursor.backlog > 0 {
		t.addNewRecords(now, &e, cursor, to)
	}
	t.newCompletions(now, &e, cursor, to)
	if len(e.Failures)+len(e.Completions)+len(e.Blocks)+len(e.Incomplete) == 0 {
		return nil
	}
	return &e
}

// addNewRecords adds the failures and blocks that a receiver has not been sent, and moves its cursor.
func (t *Tracker) addNewRecords(now time.Duration, e *Evidence, cursor *Cursor, to Direction) {
	first := cursor.version == 0
	omit := func(fromCoordinator bool, version uint64) bool {
		return version <= cursor.version || fromCoordinator && to == ToCoordinator && !first
	}
	for part, b := range t.blocks {
		if !omit(b.fromCoordinator, b.version) {
			e.Blocks = append(e.Blocks, BlockRecord{part, ageMS(now, b.since), ageMS(now, b.last), b.failedProbes})
		}
	}
	for target, at := range t.targets {
		if at.incomplete > cursor.version {
			e.Incomplete = append(e.Incomplete, target)
		}
	}
	var recent, backlog []versioned
	add := func(part string) {
		for _, f := range t.failures[part] {
			version := f.version
			if to == ToHost {
				version = max(version, f.repeatedSince)
			}
			switch {
			case first || version <= cursor.backlog:
				backlog = append(backlog, f.record(now, part, version))
			case !omit(f.fromCoordinator, version):
				recent = append(recent, f.record(now, part, version))
			}
		}
	}
	if to == ToHost {
		for part := range t.repeated {
			add(part)
		}
	} else {
		for part := range t.failures {
			add(part)
		}
	}
	cursor.version = t.version
	if n := maxFailureRecords; len(recent) > n {
		slices.SortFunc(recent, versioned.compare)
		recent, cursor.version, e.More = recent[:n], recent[n-1].version, true
	}
	cursor.backlog = 0
	if n := maxFailureRecords - len(recent); len(backlog) > n {
		slices.SortFunc(backlog, versioned.compare)
		rest := len(backlog) - n
		backlog, cursor.backlog, e.More = backlog[rest:], backlog[rest-1].version, true
	}
	for _, r := range slices.Concat(recent, backlog) {
		e.Failures = append(e.Failures, r.FailureRecord)
	}
}

// versioned is a record with the version of its last change.
type versioned struct {
	version uint64
	FailureRecord
}

func (f *failure) record(now time.Duration, part string, version uint64) versioned {
	return versioned{version, FailureRecord{part, f.target, ageMS(now, f.sent), ageMS(now, f.broke), f.position, f.refuted, f.request}}
}

func (r versioned) compare(other versioned) int { return cmp.Compare(r.version, other.version) }

// newCompletions returns the completions of suspect parts that a receiver has not been sent. Those of a part that has not failed
// since the last ones are renewed less often.
func (t *Tracker) newCompletions(now time.Duration, e *Evidence, cursor *Cursor, to Direction) {
	if now < cursor.completionsAt+resendInterval && cursor.completionsAt > 0 {
		return
	}
	cursor.completionsAt = now
	sent := cursor.completions
	cursor.completions = map[string]time.Duration{}
	var due []string
	for _, part := range t.suspects() {
		last := t.lastCompletion(part)
		cursor.completions[part] = sent[part]
		if last > sent[part] && (last >= sent[part]+renewInterval || t.lastFailure(part) > sent[part]) {
			due = append(due, part)
		}
	}
	if len(due) > maxCompletionRecords {
		slices.SortFunc(due, func(a, b string) int { return cmp.Compare(len(t.failures[b]), len(t.failures[a])) })
		e.More = e.More || len(t.failures[due[maxCompletionRecords]]) >= minSequence
		due = due[:maxCompletionRecords]
	}
	for _, part := range due {
		c := t.ownAndReported(now, part)
		if to == ToHost {
			c = t.all(now, part)
		}
		if c.last > sent[part] {
			e.Completions = append(e.Completions, CompletionRecord{part, c.weight, ageMS(now, c.last)})
		}
		cursor.completions[part] = c.last
	}
}

// lastFailure returns when a target last failed under a part; 0: none is known.
func (t *Tracker) lastFailure(part string) time.Duration {
	last := time.Duration(0)
	if b := t.blocks[part]; b != nil {
		last = b.last
	}
	for _, f := range t.failures[part] {
		last = max(last, f.broke)
	}
	return last
}

func ageMS(now, at time.Duration) int64 { return (now - at).Milliseconds() }

// MergeReport adds the evidence that a host has reported to this one.
func (t *Tracker) MergeReport(now time.Duration, from string, e *Evidence) {
	t.merge(now, from, false, e)
}

// MergeUpdate adds the evidence of the coordinating host.
func (t *Tracker) MergeUpdate(now time.Duration, e *Evidence) { t.merge(now, "", true, e) }

func (t *Tracker) merge(now time.Duration, from string, fromCoordinator bool, e *Evidence) {
	if e == nil {
		return
	}
	if e.More {
		t.completeFrom = now + moreTimeout
	}
	at := func(age int64) time.Duration { return now - time.Duration(age)*time.Millisecond }
	for _, r := range e.Failures {
		t.addFailure(now, r.Part, failure{
			target: r.Target, request: r.Request, sent: at(r.SentMS), broke: at(r.BrokeMS), position: r.Position, refuted: r.Refuted, fromCoordinator: fromCoordinator,
		})
	}
	for _, target := range e.Incomplete {
		t.markIncomplete(t.failuresAt(target, now))
	}
	for _, r := range e.Completions {
		c := completions{weight: r.Weight, at: now, last: at(r.LastMS)}
		if fromCoordinator {
			c.weight, c.last = max(c.weight, t.total[r.Part].weightAt(now)), max(c.last, t.total[r.Part].last)
			t.total[r.Part] = c
		} else {
			if t.reported[r.Part] == nil {
				t.reported[r.Part] = map[string]completions{}
			}
			t.reported[r.Part][from] = c
		}
	}
	for _, r := range e.Blocks {
		t.mergeBlock(r.Part, block{since: at(r.SinceMS), last: at(r.LastMS), failedProbes: r.FailedProbes, fromCoordinator: fromCoordinator})
	}
	for part := range t.blocks {
		t.releaseIfCompleted(part)
	}
}

// sameTime is the difference below which two times that hosts tell of the same event are taken for equal.
const sameTime = time.Second

func (t *Tracker) mergeBlock(part string, b block) {
	known := t.blocks[part]
	if known == nil {
		if t.lastCompletion(part) <= b.last {
			t.addBlock(part, &b)
		}
		return
	}
	if b.failedProbes > known.failedProbes || b.last > known.last+sameTime {
		t.version++
		known.failedProbes, known.last = max(known.failedProbes, b.failedProbes), max(known.last, b.last)
		known.fromCoordinator, known.version = b.fromCoordinator, t.version
	}
}
