package configrunner

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of a Runner.
type metrics struct {
	version   prometheus.Gauge
	adopted   *prometheus.CounterVec
	refused   *prometheus.CounterVec
	restores  *prometheus.CounterVec
	calls     *prometheus.CounterVec
	sentBytes prometheus.Counter
	dropped   prometheus.Counter
	watching  prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_config_version",
			Help: "Version of the configuration in force; zero while there is none.",
		}),
		adopted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_config_adopted_total",
			Help: "Configurations adopted, by source: platform or peer.",
		}, []string{"source"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_config_refused_total",
			Help: "Configurations refused, by reason.",
		}, []string{"reason"}),
		restores: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_config_restores_total",
			Help: "Attempts to write the adopted configuration back to a platform that lost it, by outcome.",
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_config_peer_calls_total",
			Help: "Calls to peers, by call and outcome.",
		}, []string{"call", "outcome"}),
		sentBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_config_peer_sent_bytes_total",
			Help: "Bytes of heads and pages sent to peers.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oatlatch_config_dropped_total",
			Help: "Notices and calls dropped because a queue was full.",
		}),
		watching: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_config_watching",
			Help: "1 while this host has the duty to watch the platform.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.version, m.adopted, m.refused, m.restores, m.calls, m.sentBytes, m.dropped, m.watching)
	}
	return m
}

func (m *metrics) countSentBytes(bytes int) { m.sentBytes.Add(float64(bytes)) }

func (m *metrics) countAdoption(source config.Source) {
	label := "peer"
	if source == config.PlatformSource {
		label = "platform"
	}
	m.adopted.WithLabelValues(label).Inc()
}

// countCall counts a call to a peer; call is the RPC method.
func (m *metrics) countCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
}
