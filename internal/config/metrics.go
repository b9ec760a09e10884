package config

import "github.com/uber-go/tally/v4"

// storeMetrics are the store's metrics, see docs/operate/configuration.md.
type storeMetrics struct {
	changes          tally.Counter // changes applied
	snapshots        tally.Counter // snapshots published
	watches          tally.Counter // watches opened
	watchFailures    tally.Counter // watches and lists that failed
	relists          tally.Counter // lists needed because a watch could not continue
	laggingBookmarks tally.Counter // bookmarks older than the latest version known from peers
	syncs            tally.Counter // digest exchanges with peers
	syncFailures     tally.Counter // digest exchanges that failed
	pushes           tally.Counter // pushes of changes to a host
	fullReads        tally.Counter // full reads from a peer
	floor            tally.Gauge   // version up to which the configuration is complete
	sourceAge        tally.Gauge   // seconds since the last confirmation by the API
	accepting        tally.Gauge   // 1 if requests are accepted
	instances        tally.Gauge   // instances held, including withdrawn and invalid ones
}

func newStoreMetrics(scope tally.Scope) storeMetrics {
	s := scope.SubScope("config")
	return storeMetrics{
		changes:          s.Counter("changes"),
		snapshots:        s.Counter("snapshots"),
		watches:          s.Counter("watches_opened"),
		watchFailures:    s.Counter("watch_failures"),
		relists:          s.Counter("relists"),
		laggingBookmarks: s.Counter("bookmarks_lagging"),
		syncs:            s.Counter("syncs"),
		syncFailures:     s.Counter("sync_failures"),
		pushes:           s.Counter("pushes"),
		fullReads:        s.Counter("full_readings"),
		floor:            s.Gauge("floor"),
		sourceAge:        s.Gauge("source_age_seconds"),
		accepting:        s.Gauge("accepting"),
		instances:        s.Gauge("instances"),
	}
}

// observe sets the gauges. The caller holds the store's lock.
func (m *storeMetrics) observe(s *Store) {
	m.floor.Update(float64(s.objects.Floor()))
	m.sourceAge.Update(s.freshness.SourceAge(s.now()).Seconds())
	m.instances.Update(float64(s.objects.Len()))
	accepting := 0.0
	if s.Accepting() {
		accepting = 1
	}
	m.accepting.Update(accepting)
}
