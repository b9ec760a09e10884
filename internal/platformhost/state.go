package platformhost

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// configChanged applies the stored configuration if it is newer than the one in
// use.
func (h *Host) configChanged(objects map[string]platform.Object) {
	obj, ok := objects[h.adapter.ConfigName]
	if !ok {
		return
	}
	old := h.view.Config()
	if uint64(obj.Version) <= old.Revision {
		return
	}
	c, err := h.adapter.Codec.Config(obj)
	h.configUnreadable = err != nil
	if err != nil {
		h.log.WithFields(logrus.Fields{"event": "config_unreadable", "revision": obj.Version}).Error(err.Error())
		return
	}
	if c.Version < old.Version && obj.Version.Era() > platform.Version(old.Revision).Era() {
		// The operator writes the newer version again.
		h.log.WithFields(logrus.Fields{"event": "config_ignored", "revision": obj.Version, "version": c.Version, "in_force": old.Version}).Warn("the restored store has an earlier configuration than the one in force")
		return
	}
	h.view.SetConfig(c)
	h.logUnknownHomes(c)
	h.log.WithFields(logrus.Fields{"event": "config_taken", "version": c.Version, "revision": c.Revision, "before": old.Version, "routes": len(c.Routes)}).Info("configuration in force")
}

// confirmConfig records that the copy of the stored configuration was complete at a time. One that cannot be decoded was
// acknowledged to the operator all the same, and may have taken keys away: the one before it is no longer confirmed.
func (h *Host) confirmConfig(at time.Duration) {
	if !h.configUnreadable {
		h.view.ConfirmConfig(at)
	}
}

// logEras logs each new era of the store until ctx ends.
func (h *Host) logEras(ctx context.Context) error {
	before := platform.Era(0)
	for ctx.Err() == nil {
		era, changed := h.eras.Changed()
		if era != before {
			h.log.WithFields(logrus.Fields{"event": "store_era", "era": era, "before": before}).Warn("the store names another era: it was restored from a copy, unless this is its first response")
			before = era
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// targetsChanged applies the registered targets. Entries that can't be decoded
// are logged and skipped.
func (h *Host) targetsChanged(objects map[string]platform.Object) {
	old, missing := h.view.ListedTargets(), h.targets.Missing()
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
	}
	markMissing(byID, missing)
	h.logZonesWithoutRegion(byID)
	targets := fleet.NewTargets(byID)
	if len(old.ByID) == 0 {
		h.log.WithFields(logrus.Fields{"event": "targets_listed", "targets": len(byID), "digest": targets.Digest}).Info("first list of targets")
	} else {
		h.logTargetChanges(old.ByID, byID)
	}
	h.view.SetTargets(targets)
}

// markMissing marks the targets that are kept although the store does not list them. While the store is away, the entries of
// most targets expire together and come back; a few that are missing when this host is back have left.
func markMissing(byID map[string]fleet.Target, missing map[string]bool) {
	total, gone := map[string]int{}, map[string]int{}
	for id, t := range byID {
		total[t.Service]++
		if missing[id] {
			gone[t.Service]++
		}
	}
	for id, t := range byID {
		t.Missing = missing[id] && 2*gone[t.Service] <= total[t.Service]
		byID[id] = t
	}
}

func (h *Host) logTargetChanges(old, next map[string]fleet.Target) {
	for name, t := range next {
		if before, known := old[name]; !known || before.Draining != t.Draining {
			h.log.WithFields(logrus.Fields{"event": "target_changed", "target": name, "address": t.Address, "version": t.Version, "draining": t.Draining,
				"revision": t.Revision, "models": len(t.Models), "on_disk": len(t.OnDisk)}).Info("target was registered, or its draining state changed")
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			h.log.WithFields(logrus.Fields{"event": "target_gone", "target": name}).Info("target is no longer registered")
		}
	}
}

// InvalidEntryError reports an entry that names another host than its object, or no address.
type InvalidEntryError struct {
	Name string // that it names
}

func (e *InvalidEntryError) Error() string {
	return "entry of host \"" + e.Name + "\" has another name or no address"
}

// hostsChanged applies the entries of the hosts that have joined.
func (h *Host) hostsChanged(objects map[string]platform.Object) {
	hosts := map[string]fleet.Host{}
	for name, obj := range objects {
		var host fleet.Host
		err := json.Unmarshal(obj.Data, &host)
		if err == nil && (host.Name != name || host.Address == "") {
			err = &InvalidEntryError{Name: host.Name}
		}
		if err != nil {
			h.log.WithFields(logrus.Fields{"event": "host_unreadable", "peer": name}).Warn(err.Error())
			continue
		}
		host.ModRevision, host.CreateRevision = uint64(obj.Version), uint64(obj.Created)
		hosts[name] = host
	}
	if _, ok := hosts[h.self.Name]; !ok {
		hosts[h.self.Name] = h.self
	}
	h.view.SetHosts(hosts)
	h.logHostZones(hosts)
	h.hostsListed.Do(func() {
		h.recordPredecessor(hosts[h.self.Name])
		close(h.knowsHosts)
	})
}

// recordPredecessor tells the retry budget when the process before this one started, which wrote the entry. An entry of an
// earlier version doesn't say when; its process is taken for an old one.
func (h *Host) recordPredecessor(entry fleet.Host) {
	if entry.Incarnation != h.self.Incarnation && entry.StartedMS > 0 {
		h.retries.SetPredecessor(time.Duration(h.self.StartedMS-entry.StartedMS) * time.Millisecond)
	}
}

// Times for this host's entry and those of other hosts.
const (
	firstListWait  = time.Second            // for the first list of hosts, which tells of an earlier entry
	joinRetryDelay = 300 * time.Millisecond // doubled after each failure, up to a share of the contact time
	pruneAfter     = 15 * time.Second       // a host that has sent no report for this long is considered gone
	pruneInterval  = 2 * time.Second
	rejoinAfter    = 5 * time.Second // longer than a list of hosts takes to show this host's entry
	relistTime     = time.Second     // in which the hosts are listed again after a restore of the store
)

// join writes this host's entry. Then it regularly restores the entry if it is
// missing, and removes the entries of hosts that are gone.
func (h *Host) join(ctx context.Context) error {
	select {
	case <-h.knowsHosts:
	case <-time.After(firstListWait):
	case <-ctx.Done():
	}
	delay := joinRetryDelay
	for ctx.Err() == nil {
		err := h.putSelf(ctx)
		if err == nil {
			break
		}
		h.log.WithFields(logrus.Fields{"event": "join_failed"}).Warn(err.Error())
		ctxsleep.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = max(joinRetryDelay, min(2*delay, h.settings.Bounds.Contact/contactShare))
	}
	h.listedAt = bootclock.Now()
	missing := map[string]time.Time{}
	for ctx.Err() == nil {
		_, restored := h.eras.Changed()
		timer := time.NewTimer(pruneInterval)
		select {
		case <-restored:
			ctxsleep.Sleep(ctx, relistTime+rand.N(relistTime/2))
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		h.rejoin(ctx)
		h.prune(ctx, missing)
	}
	return nil
}

// rejoin writes this host's entry again if another host has removed it or the store was restored
// from a copy without it, unless a planned stop has started.
func (h *Host) rejoin(ctx context.Context) {
	self, _ := h.view.Host(h.self.Name)
	select {
	case <-h.stopping:
		return
	default:
	}
	forgotten := self.ModRevision > 0 && platform.Version(self.ModRevision).Era() < h.eras.Current()
	if self.ModRevision > 0 && self.Incarnation == h.self.Incarnation && !forgotten {
		h.listedAt = bootclock.Now()
		return
	}
	if bootclock.Now()-h.listedAt < rejoinAfter && !forgotten {
		return
	}
	err := h.putSelf(ctx)
	h.log.WithFields(logrus.Fields{"event": "host_rejoined", "failed": err != nil}).Warn("this host's entry was missing")
}

func (h *Host) putSelf(ctx context.Context) error {
	earlier, _ := h.view.Host(h.self.Name)
	return h.putEntry(ctx, h.self, platform.Version(earlier.ModRevision))
}

// putEntry writes this host's entry. It replaces an entry with another version than the
// expected one, which only an earlier process on this machine can have written.
func (h *Host) putEntry(ctx context.Context, entry fleet.Host, expected platform.Version) error {
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	obj := platform.Object{Kind: kindHosts, Name: entry.Name, Version: expected, Data: data}
	_, err = h.store.Put(ctx, obj)
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &conflict) && conflict.Found > 0:
		obj.Version = conflict.Found
	case errors.As(err, &conflict): // the expected version belongs to an earlier era of the store
		stored, err := h.store.Get(ctx, kindHosts, entry.Name)
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		obj.Version = stored.Version
	case errors.As(err, &missing) && expected > 0:
		obj.Version = 0
	default:
		return err
	}
	_, err = h.store.Put(ctx, obj)
	return err
}

// prune removes the entries of hosts that have been missing for pruneAfter. Only
// the coordinator does so.
func (h *Host) prune(ctx context.Context, missing map[string]time.Time) {
	live, known := h.client.LiveHosts()
	if !known || h.client.Coordinator() != h.self.Name {
		clear(missing)
		return
	}
	alive := map[string]bool{}
	for _, name := range live {
		alive[name] = true
	}
	for name, host := range h.view.Hosts() {
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
		h.log.WithFields(logrus.Fields{"event": "host_removed", "peer": name, "failed": err != nil}).Info("removing the entry of a host that is gone")
		delete(missing, name)
	}
}
