// Package inquiry decides when a process that lacks knowledge which its peers may have has asked enough of them. It has no
// clocks or connections: the caller sends the questions of each round, and reports what became of them.
//
// The knowledge concerns the time before some event, such as the loss of a store's last writes. Silence is no answer: as long
// as peers cannot be reached, the inquiry stays open until its time has passed.
package inquiry

import (
	"math/rand/v2"
	"time"
)

// Answer is what a peer's reply is worth.
type Answer int

// Answers.
const (
	Unaware  Answer = iota // the peer knows nothing of the time before the event
	Witness                // it knows something of it, but may have missed the end
	Informed               // it knows all that is to be known
)

// Verdict is the state of an inquiry.
type Verdict string

// Verdicts. All but Pending are final unless the inquiry goes on: TimedOut may then be followed by another one.
const (
	Pending   Verdict = "pending"
	Told      Verdict = "told"       // an informed peer has answered
	AllAsked  Verdict = "all_asked"  // all have answered, or many without exception, and none is informed
	MostAsked Verdict = "most_asked" // most of those asked, including this process, are witnesses, and none is informed
	TimedOut  Verdict = "timed_out"
)

// Limits of an inquiry.
const (
	roundSize   = 8  // questions at a time
	manyAnswers = 32 // of peers chosen at random; if a quarter of all are informed, one in 10,000 such samples contains none
)

// Options configure an Inquiry.
type Options struct {
	Wait          time.Duration // until TimedOut
	RoundInterval time.Duration // after the beginning of a round in which a question was not answered
	SlowInterval  time.Duration // the same, after Wait
	Witness       bool          // this process is one
}

// Inquiry is one inquiry. It is not safe for concurrent use.
type Inquiry struct {
	opts     Options
	began    time.Duration
	roundAt  time.Duration // when the last round began
	inFlight int
	failed   bool              // a question of the last round was not answered
	answers  map[string]Answer // by peer
	asked    map[string]bool
	told     string
}

// New begins an inquiry.
func New(now time.Duration, opts Options) *Inquiry {
	return &Inquiry{opts: opts, began: now, answers: map[string]Answer{}, asked: map[string]bool{}}
}

// NextRound returns the peers to ask now: at first those that have not been asked, then those that did not answer. It returns
// none while questions of the last round are in flight. If all of them were answered, the next round need not wait.
func (q *Inquiry) NextRound(now time.Duration, peers []string) []string {
	interval := q.opts.RoundInterval
	if q.timedOut(now) {
		interval = q.opts.SlowInterval
	}
	if q.inFlight > 0 || q.failed && now-q.roundAt < interval {
		return nil
	}
	var fresh, again []string
	for _, peer := range peers {
		if _, answered := q.answers[peer]; answered {
			continue
		}
		if q.asked[peer] {
			again = append(again, peer)
		} else {
			fresh = append(fresh, peer)
		}
	}
	shuffle(fresh)
	shuffle(again)
	round := append(fresh, again...)
	round = round[:min(len(round), roundSize)]
	for _, peer := range round {
		q.asked[peer] = true
	}
	if len(round) > 0 {
		q.roundAt, q.inFlight, q.failed = now, len(round), false
	}
	return round
}

func shuffle(peers []string) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// Answered records the answer of a peer that was asked.
func (q *Inquiry) Answered(peer string, a Answer) {
	q.inFlight--
	q.answers[peer] = a
	if a == Informed && q.told == "" {
		q.told = peer
	}
}

// Failed records that one of the peers asked did not answer.
func (q *Inquiry) Failed() {
	q.inFlight--
	q.failed = true
}

// Verdict returns the state at a time, given all peers that are known.
func (q *Inquiry) Verdict(now time.Duration, peers []string) Verdict {
	switch {
	case q.told != "":
		return Told
	case q.inFlight == 0 && q.allAnswered(peers):
		return AllAsked
	case q.inFlight == 0 && q.mostAreWitnesses():
		return MostAsked
	case q.timedOut(now):
		return TimedOut
	}
	return Pending
}

func (q *Inquiry) timedOut(now time.Duration) bool { return now-q.began >= q.opts.Wait }

// allAnswered reports whether there is no peer left that could be informed. A process that knows no peers cannot tell.
func (q *Inquiry) allAnswered(peers []string) bool {
	if len(q.answers) < len(q.asked) || len(q.answers) == 0 {
		return false
	}
	if len(q.answers) >= manyAnswers {
		return true
	}
	for _, peer := range peers {
		if _, ok := q.answers[peer]; !ok {
			return false
		}
	}
	return true
}

// mostAreWitnesses reports whether most of those asked, and this process, knew what was known to most of them when they last
// heard from each other.
func (q *Inquiry) mostAreWitnesses() bool {
	witnesses, asked := 0, len(q.asked)+1
	if q.opts.Witness {
		witnesses++
	}
	for _, a := range q.answers {
		if a >= Witness {
			witnesses++
		}
	}
	return asked > 1 && 2*witnesses > asked
}

// ToldBy returns the first informed peer that answered, or an empty string.
func (q *Inquiry) ToldBy() string { return q.told }

// Counts returns how many peers have answered and how many were asked, and for how long the inquiry has gone on.
func (q *Inquiry) Counts(now time.Duration) (answered, asked int, waited time.Duration) {
	return len(q.answers), len(q.asked), now - q.began
}
