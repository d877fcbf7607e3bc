package peer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// serverMetrics count what peers ask of this host.
type serverMetrics struct {
	refused     *prometheus.CounterVec
	calls       *prometheus.CounterVec
	connections prometheus.Gauge
	inFlight    prometheus.Gauge
	bytes       *prometheus.CounterVec
}

func newServerMetrics(registerer prometheus.Registerer) *serverMetrics {
	factory := promauto.With(registerer)
	return &serverMetrics{
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_server_refused_total",
			Help: "Connections and messages of peers that were refused, by reason.",
		}, []string{"reason"}),
		calls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_server_calls_total",
			Help: "Calls of peers that were answered, by result.",
		}, []string{"result"}),
		connections: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_peer_server_connections",
			Help: "Open connections of peers.",
		}),
		inFlight: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_peer_server_in_flight",
			Help: "Calls of peers in progress.",
		}),
		bytes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_server_bytes_total",
			Help: "TCP payload bytes of connections of peers, by direction.",
		}, []string{"direction"}),
	}
}

// clientMetrics count what this host asks of its peers.
type clientMetrics struct {
	calls       *prometheus.CounterVec
	dials       *prometheus.CounterVec
	connections prometheus.Gauge
	inFlight    prometheus.Gauge
	bytes       *prometheus.CounterVec
}

func newClientMetrics(registerer prometheus.Registerer) *clientMetrics {
	factory := promauto.With(registerer)
	return &clientMetrics{
		calls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_client_calls_total",
			Help: "Calls of peers by result; every result but ok is a refusal reason.",
		}, []string{"result"}),
		dials: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_client_dials_total",
			Help: "Connections attempted to peers, by result.",
		}, []string{"result"}),
		connections: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_peer_client_connections",
			Help: "Open connections to peers.",
		}),
		inFlight: factory.NewGauge(prometheus.GaugeOpts{
			Name: "oatlatch_peer_client_in_flight",
			Help: "Calls to peers that are not yet answered, timed-out ones included.",
		}),
		bytes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_client_bytes_total",
			Help: "TCP payload bytes of connections to peers, by direction.",
		}, []string{"direction"}),
	}
}

// resultOK is the result label of success.
const resultOK = "ok"

// resultOf returns the label value of an error.
func resultOf(err error) string {
	if err == nil {
		return resultOK
	}
	return string(kindOf(err))
}

// kindOf returns the kind of an error, Unreachable for untyped ones.
func kindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Unreachable
}
