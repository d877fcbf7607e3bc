package membershiprunner

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/oatlatch/oatlatch/internal/membership"
)

// metrics holds the Prometheus metrics of a Runner.
type metrics struct {
	exchanges        *prometheus.CounterVec
	members          *prometheus.GaugeVec
	viewChanges      prometheus.Counter
	hostListFailures prometheus.Counter
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
		viewChanges: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_member_view_changes_total",
			Help: "Changes of the view.",
		}),
		hostListFailures: factory.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_member_host_list_failures_total",
			Help: "Failed reads of the platform's host list.",
		}),
	}
}

// countExchange counts an exchange as answered or failed.
func (m *metrics) countExchange(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.exchanges.WithLabelValues(result).Inc()
}

// recordView counts a view change and sets the member counts.
func (m *metrics) recordView(view membership.View) {
	m.viewChanges.Inc()
	counts := make(map[membership.State]int)
	for _, member := range view.Members {
		counts[member.State]++
	}
	for state := membership.Live; state <= membership.Dead; state++ {
		m.members.WithLabelValues(state.String()).Set(float64(counts[state]))
	}
}
