package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// Times of requests for permits.
const (
	permitTimeout   = 150 * time.Millisecond // of a call to the coordinator
	minPermitWait   = 50 * time.Millisecond
	permitRetryWait = 300 * time.Millisecond // after a call that failed
	maxOthers       = 7                      // further targets of one request for a permit, so that a message stays small
)

// permitRequest asks the coordinator for a permit to send one request to a target that names a limit or is cold. An earlier
// version sends the target only, which makes the request one of the most urgent.
type permitRequest struct {
	Target   string `json:"t"`           // of runOf
	DueMS    int64  `json:"d,omitempty"` // time until the request should begin; negative if it is late
	Priority int    `json:"p,omitempty"` // 0 is most urgent
	Service  string `json:"s,omitempty"`
	Cold     bool   `json:"c,omitempty"` // the target is cold, as far as the host knows
	// Others are further cold targets, for one of which a permit is as good. An earlier version does not look at them.
	Others []string `json:"o,omitempty"`
}

type permitReply struct {
	Granted    bool         `json:"g,omitempty"`
	Target     string       `json:"t,omitempty"` // one of Others that it is for; empty: Target of the request
	WaitMS     int64        `json:"w,omitempty"` // until it is worth asking again
	EarliestMS int64        `json:"e,omitempty"` // before which none can be granted
	Cause      permit.Cause `json:"k,omitempty"` // of a denial; an earlier version states none
}

// Urgency tells how urgent a request is.
type Urgency struct {
	Due      time.Duration // time until it should begin; negative if it is late
	Priority int           // 0 is most urgent
}

func (u Urgency) level() int { return permit.Level(u.Due, u.Priority) }

// PermitRequest is a request that is to be sent to a target that names a limit or is cold.
type PermitRequest struct {
	Target fleet.Target
	Others []fleet.Target // cold ones, for one of which a permit is as good
	Urgency
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	Granted bool
	Target  fleet.Target  // that it is for
	Until   time.Duration // before which the request must be sent
	Wait    time.Duration // until it is worth asking again
	Cause   permit.Cause  // of a denial
}

// RecordLimit records the limit that a response of a target names, in requests a second; 0: none.
func (f *FleetView) RecordLimit(t fleet.Target, rate float64) {
	f.mu.Lock()
	before, _ := f.limits.Rate(f.now(), runOf(t))
	f.limits.Observe(f.now(), runOf(t), rate)
	f.mu.Unlock()
	if rate != before {
		f.requestReport()
	}
}

// limited returns the limit of a target; 0: none.
func (f *FleetView) limited(target string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate, _ := f.limits.Rate(f.now(), target)
	return rate
}

// limitChanges returns the limits that a receiver has not been sent.
func (f *FleetView) limitChanges(sent uint64, to permit.Direction) ([]permit.Record, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Changes(f.now(), sent, to)
}

func (f *FleetView) mergeLimits(records []permit.Record, fromCoordinator bool) {
	if len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Merge(f.now(), records, fromCoordinator)
	f.notify()
}

// takeLimitChanges returns the limits that are new, differ or have ended.
func (f *FleetView) takeLimitChanges() []permit.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Expire(f.now())
	return f.limits.TakeChanges()
}

// denial is a permit that the coordinator denied.
type denial struct {
	until    time.Duration // when this host asks again
	possible time.Duration // before which none can be granted
	likely   time.Duration
	cause    permit.Cause
}

// denials are the last denials at a target by the level of the request. One holds for less urgent requests too.
type denials map[int]denial

// of returns a denial that holds for a level.
func (d denials) of(now time.Duration, level int) (denial, bool) {
	for l, n := range d {
		if l <= level && now < n.until {
			return n, true
		}
	}
	return denial{}, false
}

// avoidWithoutPermit has no request sent to a target for which a permit or slot was denied for a time.
func (f *FleetView) avoidWithoutPermit(target string, wait time.Duration) {
	f.deny(target, 0, denial{until: f.now() + wait, possible: f.now() + wait, likely: f.now() + wait, cause: permit.Unknown})
}

// deny records a denial for requests of a level and less urgent ones.
func (f *FleetView) deny(target string, level int, d denial) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noPermit[target] == nil {
		f.noPermit[target] = denials{}
	}
	f.noPermit[target][level] = d
}

// RequestPermit asks the coordinator whether a request may be sent now to a target that names a limit or is cold. If not,
// the target is not chosen for a time for requests that are no more urgent.
func (c *Client) RequestPermit(ctx context.Context, r PermitRequest) Permit {
	view, asked := c.opts.FleetView, c.opts.Now()
	request := permitRequest{Target: runOf(r.Target), DueMS: r.Due.Milliseconds(), Priority: r.Priority, Service: r.Target.Service, Cold: view.isCold(r.Target)}
	for _, t := range r.Others {
		request.Others = append(request.Others, runOf(t))
	}
	reply, err := c.askCoordinator(ctx, methodPermit, request, func(host string) permitReply {
		return c.opts.Coordinator.issuePermit(host, request)
	})
	if err != nil {
		c.opts.Log.WithFields(logrus.Fields{"event": "permit_not_requested", "target": r.Target.ID}).Warn(err.Error())
		view.avoidWithoutPermit(r.Target.ID, permitRetryWait)
		return Permit{Wait: permitRetryWait, Cause: permit.Unknown}
	}
	if reply.Granted {
		p := Permit{Granted: true, Target: r.Target, Until: asked + permit.TTL}
		if i := slices.Index(request.Others, reply.Target); i >= 0 {
			p.Target = r.Others[i]
		}
		return p
	}
	if reply.Cause == "" { // of an earlier version
		reply.Cause, reply.EarliestMS = permit.Unknown, reply.WaitMS
	}
	wait := max(minPermitWait, time.Duration(reply.WaitMS)*time.Millisecond)
	now := c.opts.Now()
	for _, t := range append([]fleet.Target{r.Target}, r.Others...) {
		view.deny(t.ID, r.level(), denial{
			until:    now + wait*3/4 + rand.N(wait/2+time.Millisecond), // so that hosts do not ask together
			possible: now + time.Duration(reply.EarliestMS)*time.Millisecond, likely: now + wait, cause: reply.Cause,
		})
	}
	return Permit{Wait: wait, Cause: reply.Cause}
}

// isCold reports whether a target is cold and its service has a rate for that.
func (f *FleetView) isCold(t fleet.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cold := f.coldRate(t)
	return cold
}

// askCoordinator calls a method by which hosts ask for a permit or a slot; local is called instead if this host is the
// coordinator.
func (c *Client) askCoordinator(ctx context.Context, method string, request any, local func(host string) permitReply) (reply permitReply, err error) {
	return call(ctx, c, method, request, local)
}

// logLimits logs the limits that are new to this host, differ or have ended.
func (c *Client) logLimits() {
	for _, l := range c.opts.FleetView.takeLimitChanges() {
		c.opts.Log.WithFields(logrus.Fields{"event": "target_limit", "target": l.Target, "limit": l.Rate}).Info("a target names another limit of requests a second")
	}
}

// registerPermits registers the method by which hosts ask for permits.
func (c *Coordinator) registerPermits(r peer.Registrar) {
	r.Handle(methodPermit, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var request permitRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		return c.issuePermit(from.Name, request), nil
	})
}

// permitIssuer issues the part of the limits of targets that falls to the hosts that report here. It is guarded by
// Coordinator.mu.
type permitIssuer struct {
	issuer   *permit.Issuer
	members  *permit.Members
	bounds   permit.ColdBounds
	share    float64       // of the rates of cold targets
	settling bool          // share is 0 until hosts have reported for long enough
	since    time.Duration // when share last changed
	sharedAt time.Duration
}

// shareTTL is how long a computed share is used.
const shareTTL = 20 * time.Millisecond

func newPermitIssuer(now time.Duration) permitIssuer {
	return permitIssuer{issuer: permit.NewIssuer(), members: permit.NewMembers(now), bounds: permit.ColdBounds{}.Valid()}
}

// BoundCold sets the bounds of requests to cold targets. It must be called before Run.
func (c *Coordinator) BoundCold(b fleet.Bounds) {
	c.permits.bounds = permit.ColdBounds{Overage: b.ColdOverage, Slack: b.ColdSlack}.Valid()
}

// listMembers records which hosts may ask for permits, and gives up the share of those that no longer report here. The caller must
// hold c.mu.
func (c *Coordinator) listMembers(now time.Duration) {
	c.permits.members.List(now, maps.Keys(c.fleetView.listedHosts()))
	c.updateShare(now)
}

// updateShare computes the share of the rates of cold targets that is issued here. The caller must hold c.mu.
func (c *Coordinator) updateShare(now time.Duration) {
	p := &c.permits
	if p.sharedAt > 0 && now-p.sharedAt < shareTTL {
		return
	}
	config, _ := c.freshness()
	before := p.share
	p.share, p.settling = p.members.Share(now, now-config.CurrentAt)
	p.sharedAt = now
	if p.share < before {
		p.issuer.Shrink(now, p.share/before)
	}
	if p.share != before {
		p.since = now
	}
}

// issuePermit issues a permit for a target that takes another request now, if one of those asked for does.
func (c *Coordinator) issuePermit(host string, r permitRequest) permitReply {
	reply := c.issueFor(host, r, r.Target, r.Cold)
	for _, other := range r.Others[:min(len(r.Others), maxOthers)] {
		if reply.Granted || reply.Cause == permit.Settling {
			break
		}
		next := c.issueFor(host, r, other, true)
		if next.Granted {
			next.Target = other
			return next
		}
		reply.WaitMS, reply.EarliestMS = min(reply.WaitMS, next.WaitMS), min(reply.EarliestMS, next.EarliestMS)
	}
	return reply
}

// issueFor issues a permit for one target. Of the limit it issues the part of the hosts that report here: the others may
// report to another coordinator.
func (c *Coordinator) issueFor(host string, r permitRequest, target string, saidCold bool) permitReply {
	named := c.fleetView.limited(target)
	coldRate, cold := c.fleetView.coldRateOfRun(target, r.Service, saidCold)
	all := len(c.fleetView.Hosts())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateShare(c.now())
	if c.hosts[host] == nil || all == 0 || cold && c.permits.settling {
		return permitReply{WaitMS: permitRetryWait.Milliseconds(), EarliestMS: permitRetryWait.Milliseconds(), Cause: permit.Settling}
	}
	// A named limit is issued to all hosts that report here, also to those that have just begun to: its bound has seconds
	// to hold in.
	limit := permit.Named(named, min(1, float64(len(c.hosts))/float64(all)))
	if cold {
		part := c.permits.bounds.Limit(coldRate, c.permits.share)
		part.Since = c.permits.since
		if named > 0 {
			part = part.Lower(limit)
		}
		limit = part
	}
	due := time.Duration(r.DueMS) * time.Millisecond
	a := c.permits.issuer.Ask(c.now(), permit.Request{Target: target, Host: host, Level: permit.Level(due, r.Priority)}, limit)
	return permitReply{Granted: a.Granted, WaitMS: a.Wait.Milliseconds(), EarliestMS: a.Earliest.Milliseconds(), Cause: a.Cause}
}
