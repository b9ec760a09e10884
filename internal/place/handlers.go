package place

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/peer"
)

// holdAnswer is how long the decider keeps a question that has no final answer.
const holdAnswer = 500 * time.Millisecond

// handler is a peer method with decoded parameters.
type handler func(ctx context.Context, from peer.ID, params json.RawMessage) (any, error)

func (p *Placer) handlers() map[string]handler {
	return map[string]handler{
		methodWant:    p.handleWant,
		methodUse:     p.handleUse,
		methodReports: p.handleReports,
		methodStatus:  p.handleStatus,
	}
}

func (p *Placer) register() {
	for method, h := range p.handlers() {
		p.opts.Registrar.Handle(method, peer.Handler(h))
	}
}

// callHost calls a peer method, also on this host itself.
func (p *Placer) callHost(ctx context.Context, host, method string, params, result any) error {
	self := p.opts.Members.Self().ID
	if host != self.Name {
		return p.opts.Caller.Call(ctx, host, method, params, result)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := p.handlers()[method](ctx, self, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// wantInput is a want for the core.
type wantInput struct {
	want   placement.Demand // Earliest and Latest are remaining times
	missed bool             // the host's router found no replica
	reply  chan<- wantResult
}

func (in wantInput) apply(l *loop, now time.Duration) {
	in.want.Earliest += now
	in.want.Latest += now
	l.d.RecordDemand(now, in.want)
	e := waitEntry{reply: in.reply, earliest: in.want.Earliest, until: now + holdAnswer}
	if in.missed {
		e.from = now + recheckTime
		l.recheck(in.want.Model, now)
	}
	l.waits[in.want.Model] = append(l.waits[in.want.Model], e)
}

// statusInput asks the core for the state of models.
type statusInput struct {
	models []string // nil for all
	reply  chan statusReply
}

type statusReply struct {
	active bool
	now    time.Duration
	models []placement.Status
}

func (in statusInput) apply(l *loop, now time.Duration) {
	names := in.models
	if names == nil {
		names = l.d.Models()
	}
	r := statusReply{active: l.active, now: now}
	for _, name := range names {
		r.models = append(r.models, l.d.Status(name))
	}
	in.reply <- r
}

// status asks the core; ok is false if ctx ended first.
func (p *Placer) status(ctx context.Context, models []string) (statusReply, bool) {
	in := statusInput{models: models, reply: make(chan statusReply, 1)}
	if !p.loop.tell(ctx, in) {
		return statusReply{}, false
	}
	select {
	case r := <-in.reply:
		return r, true
	case <-ctx.Done():
	case <-time.After(2 * holdAnswer): // the loop has ended
	}
	return statusReply{}, false
}

// handleWant answers when the model is ready, when its time is known to the
// caller no longer, or after holdAnswer.
func (p *Placer) handleWant(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params wantParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return wantResult{Holder: p.lease.hint()}, nil
	}
	reply := make(chan wantResult, 1)
	in := wantInput{reply: reply, missed: params.Missed, want: placement.Demand{
		Host: from.Name, Model: params.Model, Waiting: params.Waiting, Earliest: params.Earliest, Latest: params.Latest,
	}}
	if !p.loop.tell(ctx, in) {
		return wantResult{}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
	case <-time.After(2 * holdAnswer): // the loop has ended
	}
	return wantResult{}, nil
}

func (l *loop) wantResult(model string, now time.Duration) wantResult {
	st := l.d.Status(model)
	out := wantResult{Decider: l.active, Serving: st.Serving, Reason: st.Reason}
	if st.ReadyBy > 0 {
		out.ReadyIn = max(st.ReadyBy-now, time.Millisecond)
	}
	return out
}

// final reports whether the asking host can decide about all its requests or
// has one to refuse.
func final(r wantResult, left time.Duration) bool {
	switch r.Serving {
	case placement.ServingReady, placement.ServingImpossible:
		return true
	case placement.ServingLoading:
		return r.ReadyIn > 0 && r.ReadyIn+etaMargin > left
	}
	return false
}

func (p *Placer) handleUse(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params useParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return useResult{Holder: p.lease.hint()}, nil
	}
	names := make([]string, 0, len(params.Uses))
	for _, u := range params.Uses {
		names = append(names, u.Model)
		p.loop.tell(ctx, useInput{host: from.Name, use: u})
	}
	r, ok := p.status(ctx, names)
	out := useResult{Decider: ok && r.active}
	for _, st := range r.models {
		if st.Serving != placement.ServingReady {
			out.Unready = append(out.Unready, st.Model)
		}
	}
	return out, nil
}

// useInput is a host's use of a model for the core.
type useInput struct {
	host string
	use  modelUse
}

func (in useInput) apply(l *loop, now time.Duration) {
	l.d.RecordUse(now, in.host, in.use.Model, in.use.Used, in.use.Running)
}

func (p *Placer) handleReports(ctx context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params reportsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return reportsResult{Holder: p.lease.hint()}, nil
	}
	for _, r := range params.Reports {
		rep := convert(r.Report, p.now()-r.Report.Age)
		rep.Relayed = true
		p.loop.tell(ctx, reportInput{target: r.Target, rep: rep, lost: r.Lost})
	}
	return reportsResult{Decider: true, Held: p.lease.held()}, nil
}

func (p *Placer) handleStatus(ctx context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params statusParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return statusResult{Holder: p.lease.hint()}, nil
	}
	var names []string
	if params.Model != "" {
		names = []string{params.Model}
	}
	r, ok := p.status(ctx, names)
	return statusResult{Decider: ok && r.active, Models: r.models}, nil
}

// NoDeciderError reports that no host that decides was reached.
type NoDeciderError struct{}

func (e *NoDeciderError) Error() string { return "no host that decides placement answers" }

// Status returns why models are where they are, from the deciding host. An
// empty name stands for all models with a slot or a want.
func (p *Placer) Status(ctx context.Context, model string) ([]placement.Status, error) {
	var r statusResult
	if !p.askDecider(ctx, methodStatus, statusParams{Model: model}, &r, func() (bool, string) { return r.Decider, r.Holder }) {
		return nil, &NoDeciderError{}
	}
	return r.Models, nil
}
