package member

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/oatlatch/oatlatch/internal/membership"
)

// metrics count exchanges and show the view.
type metrics struct {
	exchanges    *prometheus.CounterVec
	members      *prometheus.GaugeVec
	changes      prometheus.Counter
	hintFailures prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		exchanges: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_member_exchanges_total",
			Help: "Membership exchanges begun by this host, by result.",
		}, []string{"result"}),
		members: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oatlatch_member_members",
			Help: "Entry hosts in the view, by state.",
		}, []string{"state"}),
		changes: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_member_view_changes_total",
			Help: "Changes of the view.",
		}),
		hintFailures: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_member_host_list_failures_total",
			Help: "Failed reads of the platform's host list.",
		}),
	}
}

// count counts one exchange.
func (m *metrics) count(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.exchanges.WithLabelValues(result).Inc()
}

// observe shows the view.
func (m *metrics) observe(view membership.View) {
	m.changes.Inc()
	counts := make(map[membership.State]int)
	for _, member := range view.Members {
		counts[member.State]++
	}
	for state := membership.Live; state <= membership.Dead; state++ {
		m.members.WithLabelValues(state.String()).Set(float64(counts[state]))
	}
}
