package limit

import (
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/quota"
)

// metrics are the metrics of a Limiter, in the scope "limit".
type metrics struct {
	local, waited, refused tally.Counter // requests
	callsFailed            tally.Counter // calls to peers
	reads, writes          tally.Counter // calls to the object API
	scope                  tally.Scope
	homes                  tally.Gauge // limits that this host is home of
	reported               *quota.Stats
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("limit")
	return metrics{
		local:       s.Tagged(map[string]string{"path": "local"}).Counter("granted"),
		waited:      s.Tagged(map[string]string{"path": "waited"}).Counter("granted"),
		refused:     s.Counter("refused"),
		callsFailed: s.Counter("calls_failed"),
		reads:       s.Tagged(map[string]string{"op": "read"}).Counter("api_calls"),
		writes:      s.Tagged(map[string]string{"op": "write"}).Counter("api_calls"),
		scope:       s,
		homes:       s.Gauge("homes"),
		reported:    &quota.Stats{},
	}
}

// report publishes the event counters of the limits. It must be called by one goroutine only.
func (m *metrics) report(stats quota.Stats, homes int) {
	for _, c := range []struct {
		name      string
		now, last int64
	}{
		{"asks", stats.LoanRequests, m.reported.LoanRequests},
		{"loans", stats.Loans, m.reported.Loans},
		{"denials", stats.Denials, m.reported.Denials},
		{"recalls", stats.Recalls, m.reported.Recalls},
		{"repeats", stats.Repeats, m.reported.Repeats},
	} {
		m.scope.Counter(c.name).Inc(c.now - c.last)
	}
	*m.reported = stats
	m.homes.Update(float64(homes))
}
