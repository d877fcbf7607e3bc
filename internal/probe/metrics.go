package probe

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/oatlatch/oatlatch/internal/health"
)

// metrics count checks and show upstream states.
type metrics struct {
	checks     *prometheus.CounterVec
	doubts     *prometheus.GaugeVec
	late       prometheus.Counter
	upstreams  *prometheus.GaugeVec
	distrusted prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		checks: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_health_checks_total",
			Help: "Health checks of upstreams, by outcome.",
		}, []string{"outcome"}),
		doubts: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oatlatch_health_doubted_loads",
			Help: "Upstreams whose last load report is not believed as it is, by doubt.",
		}, []string{"doubt"}),
		late: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_health_late_checks_total",
			Help: "Times that due checks waited because all workers were busy.",
		}),
		upstreams: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oatlatch_health_upstreams",
			Help: "Upstreams by state.",
		}, []string{"state"}),
		distrusted: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_health_distrusted_services",
			Help: "Services whose failed checks are distrusted because most fail.",
		}),
	}
}

// outcomeLabels are the label values of outcomes.
var outcomeLabels = map[health.Outcome]string{
	health.Passed:           "passed",
	health.Failed:           "failed",
	health.Refused:          "refused",
	health.ReportedDraining: "draining",
}

// count counts one check.
func (m *metrics) count(check health.Check) {
	m.checks.WithLabelValues(outcomeLabels[check.Outcome]).Inc()
}

// observe shows the view.
func (m *metrics) observe(view health.View, panicking int) {
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
		m.doubts.WithLabelValues(string(doubt)).Set(float64(doubts[doubt]))
	}
	m.distrusted.Set(float64(panicking))
}
