package forward

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// metrics holds a Forwarder's counters. The counters by reason are looked up
// once at the start so that counting a packet neither allocates nor locks.
type metrics struct {
	// dropCounters and dropCounts both count dropped packets and are indexed by reason.
	// dropCounts exists because Status cannot read the value of a prometheus.Counter.
	dropCounters []prometheus.Counter
	dropCounts   []atomic.Uint64
	// forwarded and relayed count packets sent to upstreams and to other hosts.
	forwarded prometheus.Counter
	relayed   prometheus.Counter
	// messages counts control messages to other hosts by outcome.
	messages *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, engine *flow.Engine) (*metrics, error) {
	reasons := flow.Reasons()
	highest := reasons[len(reasons)-1]
	m := &metrics{dropCounters: make([]prometheus.Counter, highest+1), dropCounts: make([]atomic.Uint64, highest+1)}
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_flow_dropped_packets_total", Help: "Packets dropped, by reason.",
	}, []string{"reason"})
	for _, r := range reasons {
		m.dropCounters[r] = dropped.WithLabelValues(r.String())
	}
	sent := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_flow_sent_packets_total", Help: "Packets sent, by kind of receiver.",
	}, []string{"receiver"})
	m.forwarded, m.relayed = sent.WithLabelValues("upstream"), sent.WithLabelValues("host")
	m.messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_flow_messages_total", Help: "Control messages to other hosts, by outcome.",
	}, []string{"outcome"})
	if registerer == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{dropped, sent, m.messages, newEngineCollector(engine)} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register flow metrics, which a registry accepts only once: %w", err)
		}
	}
	return m, nil
}

func (m *metrics) countDrop(r flow.Reason) {
	m.dropCounts[r].Add(1)
	m.dropCounters[r].Inc()
}

func (m *metrics) countSent(d *flow.Decision) {
	if d.Verdict == flow.RelayPacket {
		m.relayed.Inc()
		return
	}
	m.forwarded.Inc()
}
