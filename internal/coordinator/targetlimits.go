package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
)

// permitRequest asks the coordinator for a permit to send one request to a target that names a limit.
type permitRequest struct {
	Target string `json:"t"` // of runOf
}

type permitReply struct {
	Granted bool  `json:"g,omitempty"`
	WaitMS  int64 `json:"w,omitempty"` // until it is worth asking again
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

// avoidWithoutPermit has no request sent to a target that names a limit for a time.
func (f *FleetView) avoidWithoutPermit(target string, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noPermitUntil[target] = f.now() + wait
}

// RequestPermit asks the coordinator whether a request may be sent now to a target that names a limit. If not, the
// target is not chosen for a time.
func (c *Client) RequestPermit(ctx context.Context, t fleet.Target) bool {
	request := permitRequest{Target: runOf(t)}
	reply, err := c.askCoordinator(ctx, methodPermit, request, func(host string) permitReply {
		return c.opts.Coordinator.issuePermit(host, request)
	})
	if err != nil {
		c.opts.Log.WithFields(logrus.Fields{"event": "permit_not_requested", "target": t.ID}).Warn(err.Error())
		c.opts.FleetView.avoidWithoutPermit(t.ID, permitRetryWait)
		return false
	}
	if !reply.Granted {
		wait := max(minPermitWait, time.Duration(reply.WaitMS)*time.Millisecond)
		c.opts.FleetView.avoidWithoutPermit(t.ID, wait*3/4+rand.N(wait/2+time.Millisecond)) // so that hosts do not ask together
	}
	return reply.Granted
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

// issuePermit issues a permit, if the target takes another request now. Of the limit it issues the part of the
// hosts that report here: the others may report to another coordinator.
func (c *Coordinator) issuePermit(host string, r permitRequest) permitReply {
	rate := c.fleetView.limited(r.Target)
	all := len(c.fleetView.Hosts())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[host] == nil || all == 0 {
		return permitReply{WaitMS: permitRetryWait.Milliseconds()}
	}
	share := min(1, float64(len(c.hosts))/float64(all))
	granted, wait := c.permits.Ask(c.now(), r.Target, host, rate*share)
	return permitReply{Granted: granted, WaitMS: wait.Milliseconds()}
}
