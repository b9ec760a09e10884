package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/slots"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// Times of brittle targets.
const (
	brittleTTL    = 2 * time.Second        // a service is brittle for this long after a target of it said so
	slotsTTL      = 800 * time.Millisecond // slots are used for this long after the coordinator's last reply, which frees them after hostTimeout
	slotRetryWait = 60 * time.Millisecond  // after a slot was denied
)

// capacityMargin is the part of a target's slots that is left free: for requests that it goes on working on
// after their callers have left, and for new connections, which may hold a slot briefly.
const capacityMargin = 8

// slotCapacity returns how many requests all hosts together may have at a brittle target.
func slotCapacity(t fleet.Target) int {
	if t.Slots <= 0 {
		return unlimitedSlots
	}
	return max(1, t.Slots-(t.Slots+capacityMargin-1)/capacityMargin)
}

// brittleness is what this host knows of services whose targets are brittle: they fall over when they have to turn away
// more than a few requests. It is guarded by FleetView.mu.
type brittleness struct {
	seenAt   map[string]time.Duration // by service, when a target said so to this host
	toldAt   map[string]time.Duration // by service, when the coordinator last said so
	slots    *slots.NodeSlots
	usableTo time.Duration // the slots held may be used until then
}

func newBrittleness() brittleness {
	return brittleness{seenAt: map[string]time.Duration{}, toldAt: map[string]time.Duration{}, slots: slots.NewNodeSlots()}
}

// isBrittle reports whether the targets of a service are brittle. The caller must hold f.mu.
func (f *FleetView) isBrittle(service string) bool {
	now := f.now()
	for _, at := range []map[string]time.Duration{f.brittle.seenAt, f.brittle.toldAt} {
		if since, ok := at[service]; ok && now-since < brittleTTL {
			return true
		}
	}
	return false
}

// recordBrittle records that a target of a service said that it is brittle.
func (f *FleetView) recordBrittle(service string) {
	f.mu.Lock()
	before := f.isBrittle(service)
	f.brittle.seenAt[service] = f.now()
	if !before {
		f.logNotice("service_brittle", logrus.Fields{"service": service}, "targets of a service are brittle; each request needs a slot")
	}
	f.mu.Unlock()
	if !before {
		f.requestReport()
	}
}

// brittleServices returns the services whose targets said to this host lately that they are brittle.
func (f *FleetView) brittleServices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for service, at := range f.brittle.seenAt {
		if f.now()-at < reportInterval*2 {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// recordBrittleReports records what another host said.
func (f *FleetView) recordBrittleReports(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range services {
		f.brittle.toldAt[service] = f.now()
	}
}

// slotsHeld returns how many requests this host may have at a target of a brittle service. The caller must hold f.mu.
func (f *FleetView) slotsHeld(target string) int {
	if f.now() >= f.brittle.usableTo {
		return 0
	}
	return f.brittle.slots.Held(target)
}

// addSlot adds a slot that the coordinator granted.
func (f *FleetView) addSlot(t fleet.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle.slots.Add(f.now(), t.ID)
	f.brittle.usableTo = max(f.brittle.usableTo, f.now()+slotsTTL)
}

// keptSlots gives up the slots that are not needed and returns the others.
func (f *FleetView) keptSlots() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle.slots.GiveUp(f.now(), func(target string) int { return f.load[target] })
	return f.brittle.slots.All()
}

// renewSlots records that the coordinator knows what this host holds, and how much it may keep.
func (f *FleetView) renewSlots(limits map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle.slots.SetLimits(limits)
	f.brittle.usableTo = f.now() + slotsTTL
}

// slotRequest asks the coordinator for one more slot of a target.
type slotRequest struct {
	Target string `json:"t"`
}

// RequestSlot asks the coordinator for one more slot of a brittle target. If there is none, the target is not chosen for a
// moment.
func (c *Client) RequestSlot(ctx context.Context, t fleet.Target) bool {
	request := slotRequest{Target: t.ID}
	reply, err := c.askCoordinator(ctx, methodSlot, request, func(host string) permitReply {
		return c.opts.Coordinator.grantSlot(host, request)
	})
	switch {
	case err != nil:
		c.opts.Log.WithFields(logrus.Fields{"event": "slot_not_requested", "target": t.ID}).Warn(err.Error())
		c.opts.FleetView.avoidWithoutPermit(t.ID, permitRetryWait)
	case !reply.Granted:
		c.opts.FleetView.avoidWithoutPermit(t.ID, slotRetryWait)
	default:
		c.opts.FleetView.addSlot(t)
	}
	return err == nil && reply.Granted
}

// registerSlots registers the method by which hosts ask for slots.
func (c *Coordinator) registerSlots(r peer.Registrar) {
	r.Handle(methodSlot, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var request slotRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		return c.grantSlot(from.Name, request), nil
	})
}

// grantSlot grants a slot of a target to a host that reports here. A new coordinator waits until all hosts have reported
// what they hold.
func (c *Coordinator) grantSlot(host string, r slotRequest) permitReply {
	t, listed := c.fleetView.Target(r.Target)
	all := len(c.fleetView.Hosts())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[host] == nil || !listed || t.Draining || c.now()-c.activeSince < hostTimeout {
		return permitReply{}
	}
	capacity := slotCapacity(t)
	if reporting := len(c.hosts); reporting < all { // the others may report to another coordinator
		capacity = max(1, capacity*reporting/all)
	}
	return permitReply{Granted: c.slots.Ask(c.now(), t.ID, host, capacity, c.withoutSlot(t.ID))}
}

// withoutSlot returns how many requests of all hosts are at a target without a slot, as far as hosts have reported: those
// that were sent before it was brittle. The caller must hold c.mu.
func (c *Coordinator) withoutSlot(target string) int {
	n := 0
	for name, h := range c.hosts {
		n += max(0, h.load[target]-c.slots.Held(target, name))
	}
	return n
}

// slotLimits returns how many slots a host may keep of the targets of which others lack some. The caller must hold c.mu.
func (c *Coordinator) slotLimits() map[string]int {
	var out map[string]int
	for _, target := range c.slots.Targets() {
		t, ok := c.fleetView.Target(target)
		if !ok {
			continue
		}
		if limit := c.slots.Cap(c.now(), target, slotCapacity(t)); limit >= 0 {
			if out == nil {
				out = map[string]int{}
			}
			out[target] = limit
		}
	}
	return out
}
