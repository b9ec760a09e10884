package kvmemory

import "time"

// witness is the node that knows each reservation before it is granted, so that a ledger that is lost leaves nothing unknown.
type witness struct {
	node    string
	ready   bool // it has been told the whole ledger
	telling bool // the call that tells it is in progress
}

// Tell is what a witness has to be told before something is granted.
type Tell struct {
	Witness      string
	Epoch        uint64
	Whole        bool // Reservations are all that the ledger has
	Reservations []Reservation
}

// WitnessState tells whether a ledger may grant.
type WitnessState int

// The states of the witness.
const (
	WitnessReady WitnessState = iota
	WitnessToTell
	WitnessBusy // another call tells it
	WitnessNone // no node can be one
)

// Witness returns whether there is a witness that knows the whole ledger. If not, the returned call has to be made to the first of
// the candidates, and its end passed to Told. The epoch is used if there is a new witness.
func (l *Ledger) Witness(now time.Duration, candidates []string, epoch uint64) (Tell, WitnessState) {
	w := &l.witness
	switch {
	case w.node != "" && w.ready:
		return Tell{}, WitnessReady
	case w.telling:
		return Tell{}, WitnessBusy
	case len(candidates) == 0:
		return Tell{}, WitnessNone
	}
	l.epoch, w.node, w.telling, l.isClosed = epoch, candidates[0], true, false
	l.epochs[epoch] = true
	return Tell{Witness: w.node, Epoch: l.epoch, Whole: true, Reservations: l.All(now)}, WitnessToTell
}

// learnTime is how long nodes may take to hear of a new epoch: a report interval and a delay.
const learnTime = 500 * time.Millisecond

// WitnessNode returns the node that is the witness; empty: none.
func (l *Ledger) WitnessNode() string { return l.witness.node }

// LeaveWitness has the ledger take another witness, because this one is about to stop.
func (l *Ledger) LeaveWitness(now time.Duration) {
	if l.witness.ready {
		l.witness = witness{}
		l.pausedTo = max(l.pausedTo, now+learnTime)
	}
}

// LoseWitness has the ledger take another witness, because this one is silent.
func (l *Ledger) LoseWitness(now time.Duration) {
	if l.witness.ready {
		l.lostEpoch, l.lostTo = l.epoch, now+joinTime
	}
	l.witness = witness{}
}

// countsAfterLoss reports whether a node may count although the witness was lost a moment ago, which may be in a group that goes on with its
// copy. A node that names the epoch of the next witness counts in such a group only once that group has the copy of the next witness.
func (l *Ledger) countsAfterLoss(now time.Duration, n *node) bool {
	return now >= l.lostTo || l.epoch != l.lostEpoch && n.epoch == l.epoch
}

// TellOf returns the call that tells the witness a reservation.
func (l *Ledger) TellOf(k Key) Tell {
	engine := l.byRun[k.run()][k.Seq]
	return Tell{Witness: l.witness.node, Epoch: l.epoch, Reservations: []Reservation{l.byEngine[engine][k]}}
}

// Told records the end of a call, and reports whether the reservations in it may be used. If the witness did not acknowledge, it may
// be in a group that goes on with its copy: nodes count only once they name the epoch of another witness, or that group's no longer count here.
func (l *Ledger) Told(now time.Duration, t Tell, acknowledged bool) bool {
	w := &l.witness
	if t.Epoch != l.epoch || t.Witness != w.node {
		return false
	}
	if acknowledged {
		w.telling = false
		if t.Whole {
			w.ready = true
			l.told = append(l.told, l.epoch)
			l.told = l.told[max(0, len(l.told)-maxTold):]
		}
		return true
	}
	l.LoseWitness(now)
	return false
}
