package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/mirror"
	"buckthornseam.dev/seam/internal/platform"
)

// confirmedCopies tells how far this host's own copies are known to be complete.
func (h *Host) confirmedCopies() (config uint64, configAt, targetsAt time.Duration) {
	configAt, _ = h.configConfirmed()
	targetsAt, _ = h.targets.Confirmed()
	return h.board.Config().Revision, configAt, targetsAt
}

// configConfirmed returns the latest time at which the configuration was known
// to be in force, by this host's own copy or by the coordinator's word for the
// same version.
func (h *Host) configConfirmed() (time.Duration, bool) {
	at, ok := h.config.Confirmed()
	if v := h.link.StoreFreshness(); ok && v.Config == h.board.Config().Revision {
		at = max(at, v.ConfigAt)
	}
	return at, ok
}

// configPace relies on the coordinator while it vouches for this host's version
// of the configuration.
func (h *Host) configPace() mirror.Pace {
	v := h.link.StoreFreshness()
	switch {
	case !h.link.CoordinatorIsRemote():
		return configStrict
	case v.Config == h.board.Config().Revision && bootclock.Now()-v.ConfigAt < vouchFresh+configStrict.Wait:
		return configRelaxed
	}
	return configLone
}

// targetPace relies on the coordinator while it tells this host which targets
// leave.
func (h *Host) targetPace() mirror.Pace {
	switch {
	case !h.link.CoordinatorIsRemote():
		return targetStrict
	case bootclock.Now()-h.link.StoreFreshness().TargetsAt < vouchFresh:
		return targetRelaxed
	}
	return targetLone
}

// hostPace needs the list of hosts fresh until this one has found the
// coordinator.
func (h *Host) hostPace() mirror.Pace {
	if h.link.CoordinatorIsRemote() {
		return hostKnown
	}
	return hostPace
}

// configChanged takes in the stored configuration, if it is newer.
func (h *Host) configChanged(objects map[string]platform.Object) {
	obj, ok := objects[h.adapter.ConfigName]
	if !ok {
		return
	}
	old := h.board.Config()
	if uint64(obj.Version) <= old.Revision {
		return
	}
	c, err := h.adapter.Codec.Config(obj)
	if err != nil {
		h.log.WithFields(logrus.Fields{"event": "config_unreadable", "revision": obj.Version}).Error(err.Error())
		return
	}
	h.board.SetConfig(c)
	h.log.WithFields(logrus.Fields{"event": "config_taken", "version": c.Version, "before": old.Version, "routes": len(c.Routes)}).Info("configuration in force")
}

// targetsChanged takes in the registered targets. Entries that cannot be used
// are logged once for each of their versions.
func (h *Host) targetsChanged(objects map[string]platform.Object) {
	old := h.board.Targets()
	byID := make(map[string]fleet.Target, len(objects))
	for name, obj := range objects {
		if known, ok := old.ByID[name]; ok && known.Revision == uint64(obj.Version) {
			byID[name] = known
			continue
		}
		t, err := h.adapter.Codec.Target(obj)
		if err != nil {
			h.log.WithFields(logrus.Fields{"event": "target_unreadable", "target": name, "revision": obj.Version}).Warn(err.Error())
			continue
		}
		byID[name] = t
		before, known := old.ByID[name]
		if !known || before.Draining != t.Draining {
			h.log.WithFields(logrus.Fields{"event": "target_changed", "target": name, "address": t.Address, "draining": t.Draining,
				"revision": t.Revision, "models": len(t.Models), "on_disk": len(t.OnDisk)}).Info("target registered or leaving")
		}
	}
	for name := range old.ByID {
		if _, ok := byID[name]; !ok {
			h.log.WithFields(logrus.Fields{"event": "target_gone", "target": name}).Info("target is not registered any more")
		}
	}
	h.board.SetTargets(fleet.NewTargets(byID))
}

// hostsChanged takes in the hosts that joined.
func (h *Host) hostsChanged(objects map[string]platform.Object) {
	hosts := map[string]fleet.Host{}
	for name, obj := range objects {
		var host fleet.Host
		if err := json.Unmarshal(obj.Data, &host); err != nil {
			h.log.WithFields(logrus.Fields{"event": "host_unreadable", "peer": name}).Warn(err.Error())
			continue
		}
		host.ModRevision, host.CreateRevision = uint64(obj.Version), uint64(obj.Created)
		hosts[name] = host
	}
	if _, ok := hosts[h.self.Name]; !ok {
		hosts[h.self.Name] = h.self
	}
	h.board.SetHosts(hosts)
}

// Times of joining.
const (
	joinRetry   = 300 * time.Millisecond
	pruneAfter  = 15 * time.Second // a host that reports to no coordinator for so long has gone
	pruneEvery  = 2 * time.Second
	leaveBudget = 700 * time.Millisecond
)

// join writes this host's entry, then removes entries of hosts that went.
func (h *Host) join(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.putSelf(ctx)
		if err == nil {
			break
		}
		h.log.WithFields(logrus.Fields{"event": "join_failed"}).Warn(err.Error())
		pause(ctx, joinRetry)
	}
	missing := map[string]time.Time{}
	for ctx.Err() == nil {
		pause(ctx, pruneEvery)
		h.rejoin(ctx)
		h.prune(ctx, missing)
	}
	return nil
}

// rejoin writes this host's entry again if another host took it for gone.
func (h *Host) rejoin(ctx context.Context) {
	self, _ := h.board.Host(h.self.Name)
	select {
	case <-h.ended:
		return
	default:
	}
	if self.ModRevision > 0 && self.Incarnation == h.self.Incarnation {
		return
	}
	err := h.putSelf(ctx)
	h.log.WithFields(logrus.Fields{"event": "host_rejoined", "failed": err != nil}).Warn("this host's entry was missing")
}

func (h *Host) putSelf(ctx context.Context) error {
	data, err := json.Marshal(h.self)
	if err != nil {
		return err
	}
	obj := platform.Object{Kind: kindHosts, Name: h.self.Name, Data: data}
	_, err = h.store.Put(ctx, obj)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Found > 0 {
		obj.Version = conflict.Found
		_, err = h.store.Put(ctx, obj)
	}
	return err
}

// prune removes the entries of hosts that were missing for long, if this host
// coordinates.
func (h *Host) prune(ctx context.Context, missing map[string]time.Time) {
	live, known := h.link.LiveHosts()
	if !known || h.link.Coordinator() != h.self.Name {
		clear(missing)
		return
	}
	alive := map[string]bool{}
	for _, name := range live {
		alive[name] = true
	}
	for name, host := range h.board.Hosts() {
		if alive[name] {
			delete(missing, name)
			continue
		}
		if missing[name].IsZero() {
			missing[name] = time.Now()
		}
		if time.Since(missing[name]) < pruneAfter {
			continue
		}
		err := h.store.Delete(ctx, kindHosts, name, platform.Version(host.ModRevision))
		h.log.WithFields(logrus.Fields{"event": "host_removed", "peer": name, "failed": err != nil}).Info("host went without leaving")
		delete(missing, name)
	}
}

// Times of a planned stop.
const (
	quietFor    = 1500 * time.Millisecond // callers have moved to other hosts
	stopMargin  = 500 * time.Millisecond  // before the platform kills the process
	lastRuns    = 1600 * time.Millisecond // for what targets have taken: two usual streams
	leastServed = 4 * time.Second         // entry answers are kept for twice their life
)

// drain leaves the entry answers, serves callers that still come, and returns
// once they have gone or the time is up.
func (h *Host) drain(ctx context.Context) {
	began := time.Now()
	close(h.ended)
	h.entry.Leave()
	h.link.Leave()
	go h.owner.Leave(ctx)
	h.gateway.Stop(h.site.Bounds.Grace - stopMargin - lastRuns)
	h.log.WithFields(logrus.Fields{"event": "host_stopping", "running": h.gateway.Running()}).Info("host leaves the entry answers")
	h.leave(ctx)
	var idle time.Time
	for time.Since(began) < h.site.Bounds.Grace-stopMargin && ctx.Err() == nil {
		pause(ctx, 20*time.Millisecond)
		if h.gateway.Running() > 0 {
			idle = time.Time{}
			continue
		}
		if idle.IsZero() {
			idle = time.Now()
		}
		if time.Since(began) > leastServed && time.Since(idle) > quietFor {
			break
		}
	}
	h.log.WithFields(logrus.Fields{"event": "host_stopped", "running": h.gateway.Running(), "took_ms": time.Since(began).Milliseconds()}).Info("host stopped")
}

// leave removes this host's entry.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveBudget)
	defer cancel()
	self, ok := h.board.Host(h.self.Name)
	if !ok || self.ModRevision == 0 {
		return
	}
	if err := h.store.Delete(ctx, kindHosts, h.self.Name, platform.Version(self.ModRevision)); err != nil {
		h.log.WithFields(logrus.Fields{"event": "leave_failed"}).Warn(err.Error())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
