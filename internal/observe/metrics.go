// Package observe sets up metrics.
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

// reportInterval is the time between two updates of the exported values.
const reportInterval = time.Second

// Metrics is the root of a host's metrics.
type Metrics struct {
	Scope   tally.Scope  // prefix "seam"
	Handler http.Handler // the Prometheus text format
	closer  io.Closer
}

// NewMetrics returns metrics with a registry of their own, so that several
// hosts can run in one process.
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

// Close stops the updates.
func (m *Metrics) Close() {
	_ = m.closer.Close() // the last values have nobody to read them
}
