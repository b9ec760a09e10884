package limit

import (
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/quota"
)

// metrics of the limiter, below the scope "limit".
type metrics struct {
	local, waited, refused tally.Counter // requests
	callsFailed            tally.Counter // calls to peers
	reads, writes          tally.Counter // calls of the object API
	moves                  tally.Scope
	homes                  tally.Gauge // limits that this host is home of
	last                   *quota.Stats
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
		moves:       s,
		homes:       s.Gauge("homes"),
		last:        &quota.Stats{},
	}
}

// report publishes the cores' counters. It is called by one goroutine.
func (m *metrics) report(now quota.Stats, homes int) {
	for _, each := range []struct {
		name      string
		now, last int64
	}{
		{"asks", now.LoanRequests, m.last.LoanRequests},
		{"loans", now.Loans, m.last.Loans},
		{"denials", now.Denials, m.last.Denials},
		{"recalls", now.Recalls, m.last.Recalls},
		{"repeats", now.Repeats, m.last.Repeats},
	} {
		m.moves.Counter(each.name).Inc(each.now - each.last)
	}
	*m.last = now
	m.homes.Update(float64(homes))
}
