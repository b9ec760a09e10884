package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/inquiry"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// methodConfig asks a host which configuration is the newest that it knows of.
const methodConfig = "steer.config"

// ConfigQuestion is what a host asks that does not know which configuration was in force before the store was restored.
type ConfigQuestion struct {
	Era    platform.Era  `json:"e"` // of the store, as far as the host knows
	Newest ConfigVersion `json:"n"` // that it knows of
}

// ConfigAnswer replies to a ConfigQuestion.
type ConfigAnswer struct {
	Era    platform.Era   `json:"e"`
	Newest ConfigVersion  `json:"n"`
	Worth  inquiry.Answer `json:"w,omitempty"`
}

// Times of inquiries and of what they rest on.
const (
	sampleInterval      = 300 * time.Millisecond // at which the confirmation of the configuration is recorded
	inTouchAge          = 2 * time.Second        // of the last confirmation of a host that was in touch; as the poll policies have it
	inquiryStepInterval = 10 * time.Millisecond  // a few times the network delay between zones
	inquiryRound        = 400 * time.Millisecond // longer than reportTimeout, after which a question has failed
	inquirySlowRound    = 2 * time.Second        // for a host that serves already
	defaultInquiryWait  = 3 * time.Second        // if the deployment names no contact time
)

// firstEra is the era of a store that was never restored.
const firstEra platform.Era = 1

// ConfigInquiryOptions configure a ConfigInquiry.
type ConfigInquiryOptions struct {
	FleetView *FleetView
	Self      string
	Calls     peer.Caller
	Eras      *platform.Eras
	// Confirmed returns when this host's copy of the configuration was last known to be that of the store.
	Confirmed func() (time.Duration, bool)
	Wait      time.Duration // for hosts that cannot be reached, before this host goes by the store alone
	Now       func() time.Duration
	Log       logrus.FieldLogger
	Metrics   tally.Scope
}

// ConfigInquiry finds out which configuration was in force before the store was restored from a copy. The store itself no
// longer tells, and a key may have been withdrawn in what it has lost. A host that was in touch until the restore knows. All
// others, such as one that has started since, ask: that nobody has told them of a newer one yet does not mean that there is none.
type ConfigInquiry struct {
	opts ConfigInquiryOptions

	mu sync.Mutex
	// era is the one that the following is about.
	era platform.Era
	// settled is set if this host may go by the store again, informed if it also knows for sure.
	settled, informed bool
	// heldAt is when the configuration was last known to be in force, in this era or, unless settled, before it; 0: never.
	heldAt  time.Duration
	witness bool // this host has held a configuration in an earlier era
	inquiry *inquiry.Inquiry
}

// NewConfigInquiry returns an inquiry that asks nobody before Run.
func NewConfigInquiry(opts ConfigInquiryOptions) *ConfigInquiry {
	if opts.Wait <= 0 {
		opts.Wait = defaultInquiryWait
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &ConfigInquiry{opts: opts, settled: true, informed: true}
}

// Register registers the method by which other hosts ask.
func (q *ConfigInquiry) Register(r peer.Registrar) {
	r.Handle(methodConfig, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var question ConfigQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, err
		}
		return q.answer(from.Name, question), nil
	})
}

func (q *ConfigInquiry) answer(from string, question ConfigQuestion) ConfigAnswer {
	q.opts.Eras.Learn(question.Era)
	q.opts.FleetView.RecordConfig(from, question.Newest)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enterEra()
	a := ConfigAnswer{Era: q.era, Newest: q.opts.FleetView.NewestConfig()}
	switch {
	case q.informed && a.Newest.Number > 0:
		a.Worth = inquiry.Informed
	case q.witness:
		a.Worth = inquiry.Witness
	}
	return a
}

// Settled reports whether this host may go by what the store says of the configuration. If not, it returns when the one that it
// has was last known to be in force before the store was restored; 0: never.
func (q *ConfigInquiry) Settled() (heldAt time.Duration, settled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enterEra()
	return q.heldAt, q.settled
}

// enterEra starts over if the store was restored. A host whose configuration was confirmed until shortly before knows which one
// was in force: a newer one that was acknowledged in between is in force at the others within the same time. The caller must hold
// q.mu.
func (q *ConfigInquiry) enterEra() {
	era := q.opts.Eras.Current()
	if era <= q.era {
		return
	}
	now := q.opts.Now()
	inTouch := q.informed && q.heldAt > 0 && now-q.heldAt < inTouchAge
	q.witness = q.witness || q.heldAt > 0
	q.era, q.inquiry = era, nil
	q.informed = era <= firstEra || inTouch
	q.settled = q.informed
	if !q.informed {
		q.inquiry = inquiry.New(now, inquiry.Options{
			Wait: q.opts.Wait, RoundInterval: inquiryRound, SlowInterval: inquirySlowRound, Witness: q.witness,
		})
		q.opts.Log.WithFields(logrus.Fields{"event": "config_inquiry", "era": era, "witness": q.witness}).Info("asking other hosts which configuration was in force before the store was restored")
	}
}

// sample records when the configuration was last confirmed, unless a new era has begun meanwhile: what the restored store
// confirms says nothing of the time before.
func (q *ConfigInquiry) sample() {
	era := q.opts.Eras.Current()
	at, ok := q.opts.Confirmed()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enterEra()
	if ok && q.settled && q.era == era {
		q.heldAt = max(q.heldAt, at)
	}
}

// Run records confirmations and asks other hosts when that is needed, until ctx ends.
func (q *ConfigInquiry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, restored := q.opts.Eras.Changed()
		viewChanged := q.opts.FleetView.Changed()
		q.sample()
		interval := inquiryStepInterval
		if q.step(ctx) {
			interval, viewChanged = sampleInterval, nil
		}
		timer := time.NewTimer(interval)
		select {
		case <-restored:
		case <-viewChanged: // perhaps the first list of hosts
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// step asks the hosts of the next round and applies the verdict. It reports whether this host is settled.
func (q *ConfigInquiry) step(ctx context.Context) (settled bool) {
	others := q.others()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inquiry == nil {
		return q.settled
	}
	now := q.opts.Now()
	for _, host := range q.inquiry.NextRound(now, others) {
		go q.ask(ctx, q.inquiry, host)
	}
	q.apply(now, others)
	return q.settled
}

// others returns the other hosts that the store lists.
func (q *ConfigInquiry) others() []string {
	var out []string
	for name := range q.opts.FleetView.Hosts() {
		if name != q.opts.Self {
			out = append(out, name)
		}
	}
	return out
}

// ask asks one host. The answer belongs to the given inquiry, which may have been replaced meanwhile.
func (q *ConfigInquiry) ask(ctx context.Context, asked *inquiry.Inquiry, host string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var a ConfigAnswer
	question := ConfigQuestion{Era: q.opts.Eras.Current(), Newest: q.opts.FleetView.NewestConfig()}
	err := q.opts.Calls.Call(ctx, host, methodConfig, question, &a)
	if err == nil {
		q.opts.Eras.Learn(a.Era)
		q.opts.FleetView.RecordConfig(host, a.Newest)
	}
	others := q.others()
	q.mu.Lock()
	defer q.mu.Unlock()
	var refused *peer.RemoteError // by a host of an earlier version, which doesn't know the question
	switch {
	case err == nil:
		asked.Answered(host, a.Worth)
	case errors.As(err, &refused):
		asked.Answered(host, inquiry.Unaware)
	default:
		asked.Failed()
	}
	if asked == q.inquiry {
		q.apply(q.opts.Now(), others)
	}
}

// apply acts on the verdict of the inquiry. The caller must hold q.mu.
func (q *ConfigInquiry) apply(now time.Duration, others []string) {
	verdict := q.inquiry.Verdict(now, others)
	if verdict == inquiry.Pending || verdict == inquiry.TimedOut && q.settled {
		return
	}
	answered, asked, waited := q.inquiry.Counts(now)
	newest, config := q.opts.FleetView.NewestConfig(), q.opts.FleetView.Config()
	q.opts.Log.WithFields(logrus.Fields{
		"event": "config_inquiry_settled", "era": q.era, "verdict": verdict, "told_by": q.inquiry.ToldBy(), "newest": newest.Number, "version": config.Version,
		"answered": answered, "asked": asked, "listed": len(others), "waited_ms": waited.Milliseconds(),
	}).Info("other hosts were asked for the newest configuration")
	q.opts.Metrics.Tagged(map[string]string{"verdict": string(verdict)}).Counter("config_inquiries").Inc(1)
	q.settled = true
	if verdict != inquiry.TimedOut { // otherwise it goes on
		q.informed, q.inquiry = true, nil
	}
	q.opts.FleetView.wake()
}
