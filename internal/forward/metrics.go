package forward

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// metrics are the forwarder's counters. Counters by reason are looked up once,
// so that counting a packet neither allocates nor locks.
type metrics struct {
	dropped   []prometheus.Counter
	drops     []atomic.Uint64
	forwarded prometheus.Counter
	relayed   prometheus.Counter
	messages  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, engine *flow.Engine) (*metrics, error) {
	reasons := flow.Reasons()
	last := reasons[len(reasons)-1]
	m := &metrics{dropped: make([]prometheus.Counter, last+1), drops: make([]atomic.Uint64, last+1)}
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oatlatch_flow_dropped_packets_total", Help: "Packets dropped, by reason.",
	}, []string{"reason"})
	for _, r := range reasons {
		m.dropped[r] = dropped.WithLabelValues(r.String())
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
			return nil, fmt.Errorf("register flow metrics, once for each registry: %w", err)
		}
	}
	return m, nil
}

func (m *metrics) drop(r flow.Reason) {
	m.drops[r].Add(1)
	m.dropped[r].Inc()
}

func (m *metrics) sent(d *flow.Decision) {
	if d.Verdict == flow.PassOn {
		m.relayed.Inc()
		return
	}
	m.forwarded.Inc()
}
