package coordinator

import "time"

// FreshnessFunc returns the revision of a host's copy of the configuration, when that was
// last known to be in force, and when its list of targets was last known to be complete.
type FreshnessFunc func() (config uint64, configAt, targetsAt time.Duration)

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
