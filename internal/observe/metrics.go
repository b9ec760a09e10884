// Package observe sets up the metrics of a host.
package observe

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"buckthornseam.dev/seam/internal/invariant"
)

// reportInterval is the interval at which exported values are updated.
const reportInterval = time.Second

// Metrics holds the metrics of a host.
type Metrics struct {
	Scope   tally.Scope  // root scope with the prefix "seam"
	Handler http.Handler // serves the Prometheus text format
	closer  io.Closer
}

// NewMetrics returns metrics with a separate registry, so that several hosts can
// run in one process.
func NewMetrics() *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "seam",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	invariant.OnViolation(func(v invariant.Violation) {
		scope.Tagged(map[string]string{"invariant": string(v.Name)}).Counter("invariant_violations").Inc(1)
	})
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops updating the exported values.
func (m *Metrics) Close() {
	_ = m.closer.Close() // the host is stopping, so the last values would not be scraped
}
