package coordinator

import (
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// ConfigVersion identifies a configuration that was in force at some host.
type ConfigVersion struct {
	Number   int64  `json:"n"` // as the operator counts
	Revision uint64 `json:"r"` // platform.Version of the object
}

func configVersionOf(c *fleet.Config) ConfigVersion { return ConfigVersion{c.Version, c.Revision} }

// ConfigWord is what another host last said of the configuration in force.
type ConfigWord struct {
	Host    string // empty: none has said anything
	At      time.Duration
	Version ConfigVersion
}

// RecordConfig records the newest configuration that another host knows to have been in force somewhere.
func (f *FleetView) RecordConfig(host string, v ConfigVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configWord = ConfigWord{Host: host, At: f.now(), Version: v}
	f.recordConfig(v)
}

// ConfigWord returns what another host last said of the configuration in force.
func (f *FleetView) ConfigWord() ConfigWord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configWord
}

// recordConfig must be called with f.mu held.
func (f *FleetView) recordConfig(v ConfigVersion) {
	n := f.newestConfig
	if v.Number > n.Number || v.Number == n.Number && v.Revision > n.Revision {
		f.newestConfig = v
	}
}

// NewestConfig returns the newest configuration that was in force at any host, as far as this one has heard.
func (f *FleetView) NewestConfig() ConfigVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestConfig
}

// wake wakes what waits for a change of the view.
func (f *FleetView) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
}
