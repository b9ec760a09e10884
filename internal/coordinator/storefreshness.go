package coordinator

import (
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// FreshnessFunc returns a host's copies of the configuration and of the list of targets.
type FreshnessFunc func() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets])

// StoreFreshness tells how recent the coordinator's copies of the store are, by this
// host's clock.
type StoreFreshness struct {
	Config      uint64        // platform.Version of the configuration
	Digest      uint64        // fleet.Config.Digest of it
	ConfigAt    time.Duration // when it was last known to be in force
	ConfigSince time.Duration // when it was first reported
	// Earlier is the revision before Config, and EarlierAt when it was last known to be in force.
	Earlier   uint64
	EarlierAt time.Duration
	TargetsAt time.Duration // when the list of targets was last known to be complete
	Targets   uint64        // fleet.Targets.Digest of that list
}

// ConfirmedAt returns when coordinators last reported a configuration as in force; 0: never.
// While a host takes a newer one, the one it has was in force until a moment ago.
func (f StoreFreshness) ConfirmedAt(c *fleet.Config) time.Duration {
	switch {
	case f.IsOf(c):
		return f.ConfigAt
	case c.Revision == f.Earlier:
		return f.EarlierAt
	}
	return 0
}

// IsOf reports whether a configuration is the one that the coordinator has. After a restore of the store, the same
// one may have been written again.
func (f StoreFreshness) IsOf(c *fleet.Config) bool {
	return c.Revision == f.Config || c.Digest == f.Digest && c.Digest != 0
}

// ConfirmConfig records that the store held no newer configuration at a time than the one that is in force now.
func (f *FleetView) ConfirmConfig(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configAt = max(f.configAt, at)
}

// ConfirmTargets records that the store held no newer list of targets at a time than the one that is known now.
func (f *FleetView) ConfirmTargets(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targetsAt = max(f.targetsAt, at)
}

// DatedConfig returns the configuration in force. If the coordinators' report is about the same one, it counts too.
//
// wentBack reports whether that configuration is older than one in force elsewhere although it was stored later: it comes
// from the copy from which the store was restored, and the operator has not yet written the newer one again.
func (f *FleetView) DatedConfig(reported StoreFreshness) (c fleet.Dated[*fleet.Config], wentBack bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Revision > 0 {
		f.configAt = max(f.configAt, reported.ConfirmedAt(f.config)) // also a statement about any newer configuration
	}
	wentBack = f.newestConfig.Number > f.config.Version && f.newestConfig.Revision < f.config.Revision
	return fleet.Dated[*fleet.Config]{Copy: f.config, CurrentAt: f.configAt}, wentBack
}

// DatedTargets returns the registered targets, as Targets does. If the coordinators' report is about the same list, it counts too.
func (f *FleetView) DatedTargets(reported StoreFreshness) fleet.Dated[*fleet.Targets] {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reported.Targets == f.listed.Digest {
		f.targetsAt = max(f.targetsAt, reported.TargetsAt)
	}
	return fleet.Dated[*fleet.Targets]{Copy: f.targets, CurrentAt: f.targetsAt}
}

// StoreFreshness returns what coordinators reported so far. It stays valid when another
// host becomes the coordinator.
func (c *Client) StoreFreshness() StoreFreshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness
}

// applyStoreAge applies the store ages in the coordinator's reply to a report that was sent
// at began. At that time the ages were no higher.
func (c *Client) applyStoreAge(age StoreAge, began time.Duration) {
	c.opts.Eras.Learn(age.Era)
	c.opts.FleetView.SetUnusable(age.Unusable)
	if from := c.Coordinator(); from != c.opts.Self.Name {
		newest := c.opts.FleetView.NewestConfig() // both hosts know the same one if the reply names none
		if age.NewestConfig != nil {
			newest = *age.NewestConfig
		}
		c.opts.FleetView.RecordConfig(from, newest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyEvacuations(age.EvacuationNews, began)
	configAt := began - time.Duration(age.ConfigAgeMS)*time.Millisecond
	targetsAt := began - time.Duration(age.TargetAgeMS)*time.Millisecond
	if age.Config > c.freshness.Config {
		c.freshness.Earlier, c.freshness.EarlierAt = c.freshness.Config, c.freshness.ConfigAt
		c.freshness.Config, c.freshness.ConfigAt, c.freshness.ConfigSince, c.freshness.Digest = age.Config, configAt, c.opts.Now(), age.Digest
	}
	if age.Config == c.freshness.Config {
		c.freshness.ConfigAt = max(c.freshness.ConfigAt, configAt) // a new coordinator may report a higher age
	}
	if targetsAt > c.freshness.TargetsAt {
		c.freshness.TargetsAt, c.freshness.Targets = targetsAt, age.Targets
	}
}
