package gossip

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/feed"
)

// metrics count messages.
type metrics struct {
	messages, bytes *prometheus.CounterVec
}

// newMetrics creates the counters and registers them.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_gossip_messages_total", Help: "Messages to and from other entry hosts, by direction and kind; failed ones were not sent, refused ones not authentic.",
		}, []string{"direction", "kind"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_gossip_bytes_total", Help: "Bytes of messages to and from other entry hosts without headers, by direction.",
		}, []string{"direction"}),
	}
	for _, c := range []prometheus.Collector{m.messages, m.bytes} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register metrics of messages, which a registry accepts only once: %w", err)
		}
	}
	return m, nil
}

// count counts a message that was sent or taken.
func (m *metrics) count(direction string, kind feed.MessageKind, bytes int) {
	m.messages.WithLabelValues(direction, kind.String()).Inc()
	m.bytes.WithLabelValues(direction).Add(float64(bytes))
}
