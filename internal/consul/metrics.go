package consul

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the client.
type metrics struct {
	calls          *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	rateLimitWaits prometheus.Counter
}

// newMetrics creates the metrics and registers them, unless the registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_platform_calls_total",
			Help: "Calls to the platform by call and outcome.",
		}, []string{"call", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oatlatch_platform_call_seconds",
			Help:    "Duration of calls to the platform, watches included.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 30},
		}, []string{"call"}),
		rateLimitWaits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_platform_budget_waits_total",
			Help: "Calls that waited because the host's call budget was used up.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.duration, m.rateLimitWaits)
	}
	return m
}

// observe counts a call by its outcome, which follows from its error or, without an
// error, from its HTTP status, and records its duration.
func (m *metrics) observe(call string, err error, status int, elapsed time.Duration) {
	outcome := "answered"
	switch {
	case err != nil && isNotSent(err):
		outcome = "not-sent"
	case err != nil:
		outcome = "lost"
	case status >= 400 && status != 404:
		outcome = "refused"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
	m.duration.WithLabelValues(call).Observe(elapsed.Seconds())
}
