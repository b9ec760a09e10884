package config

import "github.com/uber-go/tally/v4"

// storeMetrics are the store's metrics, see docs/operate/configuration.md.
type storeMetrics struct {
	changes   tally.Counter // changes taken over
	snapshots tally.Counter // snapshots published
	watches   tally.Counter // watches opened
	watchEnds tally.Counter // watches and lists that failed
	relists   tally.Counter // lists taken because a watch could not go on
	lagging   tally.Counter // bookmarks older than what peers know
	syncs     tally.Counter // exchanges with peers
	syncFails tally.Counter // exchanges that failed
	pushes    tally.Counter // changes passed on at once
	readings  tally.Counter // full readings from a peer
	floor     tally.Gauge   // version up to which the configuration is complete
	sourceAge tally.Gauge   // seconds since the last confirmation by the API
	accepting tally.Gauge   // 1 if requests are accepted
	instances tally.Gauge   // instances in force
}

func newStoreMetrics(scope tally.Scope) storeMetrics {
	s := scope.SubScope("config")
	return storeMetrics{
		changes:   s.Counter("changes"),
		snapshots: s.Counter("snapshots"),
		watches:   s.Counter("watches_opened"),
		watchEnds: s.Counter("watch_failures"),
		relists:   s.Counter("relists"),
		lagging:   s.Counter("bookmarks_lagging"),
		syncs:     s.Counter("syncs"),
		syncFails: s.Counter("sync_failures"),
		pushes:    s.Counter("pushes"),
		readings:  s.Counter("full_readings"),
		floor:     s.Gauge("floor"),
		sourceAge: s.Gauge("source_age_seconds"),
		accepting: s.Gauge("accepting"),
		instances: s.Gauge("instances"),
	}
}

// observe sets the gauges. The caller holds the store's lock.
func (m *storeMetrics) observe(s *Store) {
	m.floor.Update(float64(s.objects.Floor()))
	m.sourceAge.Update(s.fresh.SourceAge(s.now()).Seconds())
	m.instances.Update(float64(s.objects.Len()))
	accepting := 0.0
	if s.Accepting() {
		accepting = 1
	}
	m.accepting.Update(accepting)
}
