package peer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// serverMetrics are the metrics of connections and calls from peers.
type serverMetrics struct {
	refused     *prometheus.CounterVec
	calls       *prometheus.CounterVec
	connections prometheus.Gauge
	inFlight    prometheus.Gauge
	bytes       *prometheus.CounterVec
	traffic     *trafficMetrics
}

func newServerMetrics(registerer prometheus.Registerer) *serverMetrics {
	factory := promauto.With(registerer)
	return &serverMetrics{
		traffic: newTrafficMetrics(registerer, "server"),
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

// clientMetrics are the metrics of connections and calls to peers.
type clientMetrics struct {
	calls       *prometheus.CounterVec
	dials       *prometheus.CounterVec
	connections prometheus.Gauge
	inFlight    prometheus.Gauge
	bytes       *prometheus.CounterVec
	traffic     *trafficMetrics
}

func newClientMetrics(registerer prometheus.Registerer) *clientMetrics {
	factory := promauto.With(registerer)
	return &clientMetrics{
		traffic: newTrafficMetrics(registerer, "client"),
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

// resultOK is the value of the result label of a success.
const resultOK = "ok"

// resultLabel returns the value of the result label for an error or nil.
func resultLabel(err error) string {
	if err == nil {
		return resultOK
	}
	return string(errorKind(err))
}

// errorKind returns the kind of an error, or Unreachable if it is not an *Error.
func errorKind(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Unreachable
}
