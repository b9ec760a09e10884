package queue

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/peer"
)

// reportParams is the demand of a host and of the hosts below it in the tree.
type reportParams struct {
	Pool   string      `json:"p"`
	Demand fair.Demand `json:"d"`
}

// reportResult is the grant, nil if the host that was asked may not divide slots.
type reportResult struct {
	Grant *fair.Grant `json:"g,omitempty"`
}

// MalformedReportError reports that a queue.report message could not be parsed.
type MalformedReportError struct {
	From  peer.ID
	Cause error
}

func (e *MalformedReportError) Error() string {
	return "queue report of " + e.From.String() + " malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedReportError) Unwrap() error { return e.Cause }

// report sends this host's demand to its parent and puts the grant in force. The
// root grants its own demand.
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
		p.lastUnanswered = now
		return
	}
	p.node.Apply(now, *result.Grant)
	p.applyOwnGrant(now)
}

// prepareReport records this host's demand in its own node and returns the
// report for the parent. It returns false if there is no parent to ask.
func (p *pool) prepareReport() (parent string, params reportParams, ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.lastReport = now
	self := p.owner.self
	d := p.queue.Demand(now)
	d.TargetLoad = p.targetLoad()
	p.node.RecordDemand(now, self.String(), d)
	parent, ask = p.view.tree.Parent(self.Name)
	if !ask {
		p.applyOwnGrant(now)
		return "", reportParams{}, false
	}
	return parent, reportParams{Pool: p.name, Demand: p.node.Demand(now)}, true
}

// applyOwnGrant puts the grant of the host's node to the host itself in force.
// The caller holds mu.
func (p *pool) applyOwnGrant(now time.Duration) {
	if g, ok := p.node.Grant(now, p.owner.self.String()); ok {
		p.queue.Apply(now, g)
		p.passQuotas(now)
	}
	p.dispatch(now)
}

// targetLoad counts this host's requests on each target. It returns nil unless
// reports of the pool list its targets. The caller holds mu.
func (p *pool) targetLoad() *fair.TargetLoad {
	router := p.owner.opts.Router
	if router == nil || !p.view.listsTargets() {
		return nil
	}
	load := &fair.TargetLoad{Version: p.view.targetSlots.Version, Running: make([]int, len(p.view.targets))}
	for i, t := range p.view.targets {
		load.Running[i] = router.Inflight(t.Name)
	}
	return load
}

// passQuotas passes the host's slot quotas to the router. The caller holds mu.
func (p *pool) passQuotas(now time.Duration) {
	given, until := p.queue.SlotQuotas()
	if given == nil || p.owner.opts.Router == nil || given.Version != p.view.targetSlots.Version {
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

// handleReport answers the report of a host below this one in the tree. An inner
// node first asks its own parent if its last report is not recent.
func (q *Queue) handleReport(ctx context.Context, from peer.ID, raw json.RawMessage) (any, error) {
	var params reportParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &MalformedReportError{From: from, Cause: err}
	}
	p := q.pool(params.Pool)
	if p.storeReport(from, params.Demand) {
		p.report(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.node.Grant(q.now(), from.String()); ok {
		return reportResult{Grant: &g}, nil
	}
	return reportResult{}, nil
}

// storeReport stores a child's demand. It returns true if this host should ask
// its parent before it answers; a report then counts as in progress.
func (p *pool) storeReport(from peer.ID, d fair.Demand) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.lastUsed = now
	p.node.RecordDemand(now, from.String(), d)
	_, inner := p.view.tree.Parent(p.owner.self.Name)
	recent := now-p.lastReport < p.view.tree.Interval()/4
	if !inner || recent || p.reporting {
		return false
	}
	p.reporting = true
	return true
}
