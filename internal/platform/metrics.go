package platform

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	calls       *prometheus.CounterVec
	seconds     *prometheus.HistogramVec
	budgetWaits prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_platform_calls_total",
			Help: "Calls to the platform by call and outcome.",
		}, []string{"call", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oatlatch_platform_call_seconds",
			Help:    "Duration of calls to the platform, watches included.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 30},
		}, []string{"call"}),
		budgetWaits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_platform_budget_waits_total",
			Help: "Calls that waited because the host's call budget was used up.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.seconds, m.budgetWaits)
	}
	return m
}

func (m *metrics) observe(call string, err error, status int, took time.Duration) {
	outcome := "answered"
	switch {
	case err != nil && notSent(err):
		outcome = "not-sent"
	case err != nil:
		outcome = "lost"
	case status >= 400 && status != 404:
		outcome = "refused"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
	m.seconds.WithLabelValues(call).Observe(took.Seconds())
}
