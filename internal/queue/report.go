package queue

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/peer"
)

// reportParams carry the demand of a host and those below it.
type reportParams struct {
	Pool   string      `json:"p"`
	Demand fair.Demand `json:"d"`
}

// reportResult carries the grant, nil if the host asked has nothing to divide.
type reportResult struct {
	Grant *fair.Grant `json:"g,omitempty"`
}

// MalformedReportError reports a queue.report that cannot be read.
type MalformedReportError struct {
	From  peer.ID
	Cause error
}

func (e *MalformedReportError) Error() string {
	return "queue report of " + e.From.String() + " malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedReportError) Unwrap() error { return e.Cause }

// report sends this host's demand to its parent and puts the answer in force.
// The root answers itself.
func (p *pool) report(ctx context.Context) {
	defer p.reportEnded()
	parent, params, ask := p.prepareReport()
	if !ask {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result reportResult
	if err := p.owner.opts.Caller.Call(ctx, parent, methodReport, params, &result); err != nil {
		p.metrics.Counter("report_failures").Inc(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	if result.Grant == nil {
		p.unheard = now
		return
	}
	p.node.Apply(now, *result.Grant)
	p.applyOwn(now)
}

// prepareReport counts this host's demand. It is false if there is no parent
// to ask.
func (p *pool) prepareReport() (parent string, params reportParams, ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.reported = now
	self := p.owner.self
	d := p.queue.Demand(now)
	d.TargetLoad = p.busy()
	p.node.Report(now, self.String(), d)
	parent, ask = p.view.tree.Parent(self.Name)
	if !ask {
		p.applyOwn(now)
		return "", reportParams{}, false
	}
	return parent, reportParams{Pool: p.name, Demand: p.node.Demand(now)}, true
}

// applyOwn puts this host's own part of what its node may divide in force; the
// caller holds mu.
func (p *pool) applyOwn(now time.Duration) {
	if g, ok := p.node.Grant(now, p.owner.self.String()); ok {
		p.queue.Apply(now, g)
		p.passSlots(now)
	}
	p.pump(now)
}

// busy counts this host's requests at each target, for pools with few hosts;
// the caller holds mu.
func (p *pool) busy() *fair.TargetLoad {
	slots := p.owner.opts.Router
	if slots == nil || !p.view.perTarget() {
		return nil
	}
	b := &fair.TargetLoad{Version: p.view.slots.Version, Running: make([]int, len(p.view.targets))}
	for i, t := range p.view.targets {
		b.Running[i] = slots.Inflight(t.Name)
	}
	return b
}

// passSlots hands the slots that this host may count on to routing; the caller
// holds mu.
func (p *pool) passSlots(now time.Duration) {
	given, until := p.queue.SlotQuotas()
	if given == nil || p.owner.opts.Router == nil || given.Version != p.view.slots.Version {
		return
	}
	targets := p.view.targets
	if len(given.Own) != len(targets) || len(given.Common) != len(targets) {
		return
	}
	quotas := make([]routing.Quota, len(targets))
	for i, t := range targets {
		quotas[i] = routing.Quota{Target: t.Name, Own: given.Own[i], Common: given.Common[i]}
	}
	p.owner.opts.Router.SetQuotas(p.name, quotas, until-now)
}

// handleReport answers the report of a host below this one. An inner node asks
// its own parent first if what it has to divide is not recent.
func (q *Queue) handleReport(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params reportParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &MalformedReportError{From: from, Cause: err}
	}
	p := q.pool(params.Pool)
	if p.takeReport(from, params.Demand) {
		p.report(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.node.Grant(q.now(), from.String()); ok {
		return reportResult{Grant: &g}, nil
	}
	return reportResult{}, nil
}

// takeReport stores a child's demand. It is true if this host should ask its
// parent before it answers.
func (p *pool) takeReport(from peer.ID, d fair.Demand) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.used = now
	p.node.Report(now, from.String(), d)
	_, inner := p.view.tree.Parent(p.owner.self.Name)
	recent := now-p.reported < p.view.tree.Interval()/4
	if !inner || recent || p.reporting {
		return false
	}
	p.reporting = true
	return true
}
