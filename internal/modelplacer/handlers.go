package modelplacer

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/peer"
)

// longPollTimeout is how long the decider holds a demand call open without a final result.
const longPollTimeout = 500 * time.Millisecond

// handler serves one peer method.
type handler func(ctx context.Context, from peer.ID, params json.RawMessage) (any, error)

func (p *Placer) handlers() map[string]handler {
	return map[string]handler{
		methodDemand:  p.handleDemand,
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

// callHost calls a peer method on any host. It calls the handler directly if that is this host.
func (p *Placer) callHost(ctx context.Context, host, method string, params, result any) error {
	self := p.opts.Members.Self().ID
	if host != self.Name {
		return p.opts.Caller.Call(ctx, host, method, params, result)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := p.handlers()[method](ctx, self, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// demandInput passes the demand of a host to the core.
type demandInput struct {
	demand    placement.Demand // Earliest and Latest are relative to now
	noReplica bool             // the host's router found no replica
	reply     chan<- demandResult
}

func (in demandInput) apply(l *loop, now time.Duration) {
	in.demand.Earliest += now
	in.demand.Latest += now
	l.d.RecordDemand(now, in.demand)
	e := pendingDemand{reply: in.reply, earliest: in.demand.Earliest, replyBy: now + longPollTimeout}
	if in.noReplica {
		e.notBefore = now + recheckDelay
		l.recheck(in.demand.Model, now)
	}
	l.pending[in.demand.Model] = append(l.pending[in.demand.Model], e)
}

// statusInput asks the core for the state of models.
type statusInput struct {
	models []string // nil for all
	reply  chan coreStatus
}

type coreStatus struct {
	active bool
	now    time.Duration
	models []placement.Status
}

func (in statusInput) apply(l *loop, now time.Duration) {
	names := in.models
	if names == nil {
		names = l.d.Models()
	}
	r := coreStatus{active: l.active, now: now}
	for _, name := range names {
		r.models = append(r.models, l.d.Status(name))
	}
	in.reply <- r
}

// coreStatus asks the core for the state of models. It returns false if there
// is no reply before ctx ends or within twice longPollTimeout.
func (p *Placer) coreStatus(ctx context.Context, models []string) (coreStatus, bool) {
	in := statusInput{models: models, reply: make(chan coreStatus, 1)}
	if !p.loop.send(ctx, in) {
		return coreStatus{}, false
	}
	select {
	case r := <-in.reply:
		return r, true
	case <-ctx.Done():
	case <-time.After(2 * longPollTimeout): // the loop has ended
	}
	return coreStatus{}, false
}

// handleDemand is a long poll: it replies once the result is final (see
// isFinal), or after longPollTimeout.
func (p *Placer) handleDemand(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params demandParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return demandResult{Holder: p.lease.knownHolder()}, nil
	}
	reply := make(chan demandResult, 1)
	in := demandInput{reply: reply, noReplica: params.NoReplica, demand: placement.Demand{
		Host: from.Name, Model: params.Model, Waiting: params.Waiting, Earliest: params.Earliest, Latest: params.Latest,
	}}
	if !p.loop.send(ctx, in) {
		return demandResult{}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
	case <-time.After(2 * longPollTimeout): // the loop has ended
	}
	return demandResult{}, nil
}

func (l *loop) demandResult(model string, now time.Duration) demandResult {
	st := l.d.Status(model)
	out := demandResult{Decider: l.active, Serving: st.Serving, Reason: st.Reason}
	if st.ReadyBy > 0 {
		out.ReadyIn = max(st.ReadyBy-now, time.Millisecond)
	}
	return out
}

// isFinal reports whether the host can act on the result: serve or refuse all of
// its waiting requests, or refuse the one with the earliest deadline. The
// argument remaining is the time until that deadline.
func isFinal(r demandResult, remaining time.Duration) bool {
	switch r.Serving {
	case placement.ServingReady, placement.ServingImpossible:
		return true
	case placement.ServingLoading:
		return r.ReadyIn > 0 && r.ReadyIn+dispatchMargin > remaining
	}
	return false
}

func (p *Placer) handleUse(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params useParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return useResult{Holder: p.lease.knownHolder()}, nil
	}
	names := make([]string, 0, len(params.Uses))
	for _, u := range params.Uses {
		names = append(names, u.Model)
		p.loop.send(ctx, useInput{host: from.Name, use: u})
	}
	r, ok := p.coreStatus(ctx, names)
	out := useResult{Decider: ok && r.active}
	for _, st := range r.models {
		if st.Serving != placement.ServingReady {
			out.Unready = append(out.Unready, st.Model)
		}
	}
	return out, nil
}

// useInput passes a host's use of a model to the core.
type useInput struct {
	host string
	use  modelUse
}

func (in useInput) apply(l *loop, now time.Duration) {
	l.d.RecordUse(now, in.host, in.use.Model, in.use.Started, in.use.Running)
}

func (p *Placer) handleReports(ctx context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params reportsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return reportsResult{Holder: p.lease.knownHolder()}, nil
	}
	for _, r := range params.Reports {
		rep := convertReport(r.Report, p.now()-r.Report.Age)
		rep.Relayed = true
		p.loop.send(ctx, reportInput{target: r.Target, rep: rep, unreachable: r.Lost})
	}
	return reportsResult{Decider: true, Held: p.lease.held()}, nil
}

func (p *Placer) handleStatus(ctx context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params statusParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	if !p.lease.active() {
		return statusResult{Holder: p.lease.knownHolder()}, nil
	}
	var names []string
	if params.Model != "" {
		names = []string{params.Model}
	}
	r, ok := p.coreStatus(ctx, names)
	return statusResult{Decider: ok && r.active, Models: r.models}, nil
}

// NoDeciderError reports that the decider could not be reached.
type NoDeciderError struct{}

func (e *NoDeciderError) Error() string { return "no host that decides placement answers" }

// Status asks the decider for the placement status of a model, with the reason
// for it. An empty name stands for all models that have a slot or a demand.
func (p *Placer) Status(ctx context.Context, model string) ([]placement.Status, error) {
	var r statusResult
	if !p.callDecider(ctx, methodStatus, statusParams{Model: model}, &r, func() (bool, string) { return r.Decider, r.Holder }) {
		return nil, &NoDeciderError{}
	}
	return r.Models, nil
}
