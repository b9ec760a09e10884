package coordinator

import "time"

// Limits of responses that are no answers.
const (
	maxNoAnswers  = 3           // in a row, hardly by chance; an engine that broke off once goes on getting requests
	noAnswerPause = time.Second // until one more request shows whether the engine has recovered; they usually do within seconds
)

// noAnswers are the latest responses of a target that were no answers.
type noAnswers struct {
	inARow int
	lastAt time.Duration
}

// RecordNoAnswer records that a target's response was no answer: bytes that are not HTTP, or that have no end.
func (f *FleetView) RecordNoAnswer(target string) {
	f.updateHealth(target, func(h *health) {
		h.noAnswers.inARow++
		h.noAnswers.lastAt = f.now()
	})
}

// leftOut reports whether an engine sends bytes that are no answers, and gets no request just now. While the sound engines have no slot,
// its free ones would draw all requests: it fails them within milliseconds. The caller must hold f.mu.
func (f *FleetView) leftOut(target string) bool {
	h := f.health[target]
	if h == nil || h.noAnswers.inARow < maxNoAnswers {
		return false
	}
	return f.load[target] > 0 || f.now() < h.noAnswers.lastAt+noAnswerPause
}
