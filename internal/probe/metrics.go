package probe

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/oatlatch/oatlatch/internal/health"
)

// metrics are the Prometheus metrics of checks and upstream states.
type metrics struct {
	checks           *prometheus.CounterVec
	doubtedLoads     *prometheus.GaugeVec
	lateChecks       prometheus.Counter
	upstreams        *prometheus.GaugeVec
	failOpenServices prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		checks: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_health_checks_total",
			Help: "Health checks of upstreams, by outcome.",
		}, []string{"outcome"}),
		doubtedLoads: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oatlatch_health_doubted_loads",
			Help: "Upstreams whose last load report is not believed as it is, by doubt.",
		}, []string{"doubt"}),
		lateChecks: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_health_late_checks_total",
			Help: "Times that due checks waited because all workers were busy.",
		}),
		upstreams: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oatlatch_health_upstreams",
			Help: "Upstreams by state.",
		}, []string{"state"}),
		failOpenServices: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_health_distrusted_services",
			Help: "Services whose failed checks are distrusted because most fail.",
		}),
	}
}

// outcomeLabels maps outcomes to label values.
var outcomeLabels = map[health.Outcome]string{
	health.Passed:           "passed",
	health.Failed:           "failed",
	health.Refused:          "refused",
	health.ReportedDraining: "draining",
}

// countCheck counts a check by its outcome.
func (m *metrics) countCheck(check health.Check) {
	m.checks.WithLabelValues(outcomeLabels[check.Outcome]).Inc()
}

// setView sets the gauges from a view and the number of services that fail open.
func (m *metrics) setView(view health.View, failOpenServices int) {
	states := make(map[health.State]int)
	doubts := make(map[health.Doubt]int)
	for _, upstream := range view.Upstreams {
		states[upstream.State]++
		doubts[upstream.LoadDoubt]++
	}
	for state := health.Joining; state <= health.Gone; state++ {
		m.upstreams.WithLabelValues(state.String()).Set(float64(states[state]))
	}
	for _, doubt := range health.Doubts {
		m.doubtedLoads.WithLabelValues(string(doubt)).Set(float64(doubts[doubt]))
	}
	m.failOpenServices.Set(float64(failOpenServices))
}
