package feed

import (
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Metrics counts a feed's calls to its sources, and the restores of the store that it has
// seen.
type Metrics struct {
	calls    *prometheus.CounterVec
	restores prometheus.Counter
}

// NewMetrics creates the counters and registers them unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_feed_calls_total", Help: "Calls for configuration and upstreams, by source and outcome.",
		}, []string{"source", "outcome"}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_store_restores_total", Help: "Times that the store came back from an older copy while this host ran.",
		}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.calls, m.restores} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register feed metrics (possible only once per registry): %w", err)
		}
	}
	return m, nil
}

// observeCall counts a call to a peer or to the store, with its outcome.
func (m *Metrics) observeCall(fromPeer bool, err error) {
	source := "store"
	if fromPeer {
		source = "peer"
	}
	m.calls.WithLabelValues(source, outcome(err)).Inc()
}

// answered is the outcome of a call or question that was answered.
const answered = "answered"

// observePartner counts a question to a partner with its outcome.
func (m *Metrics) observePartner(outcome string) { m.calls.WithLabelValues("partner", outcome).Inc() }

// observePartnerRead counts a read of a partner that knew more than this host.
func (m *Metrics) observePartnerRead(err error) {
	m.calls.WithLabelValues("partner_read", outcome(err)).Inc()
}

// observeOperatorCall counts a watch of the operator's records.
func (m *Metrics) observeOperatorCall(err error) {
	m.calls.WithLabelValues("store_operator", outcome(err)).Inc()
}

// outcome returns the value of the metric label outcome for the error of a call.
func outcome(err error) string {
	var status *StatusError
	switch {
	case err == nil:
		return answered
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrBehind), errors.Is(err, catalog.ErrOutdated):
		return "outdated"
	case errors.Is(err, ErrStale):
		return "stale"
	case errors.Is(err, ErrLoop):
		return "loop"
	case errors.As(err, &status):
		return "refused"
	default:
		return "failed"
	}
}
