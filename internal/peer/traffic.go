package peer

import (
	"reflect"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// unknownMethod is the method in metrics of calls that this build does not serve. Peers could
// otherwise create any number of time series.
const unknownMethod = "unknown"

// trafficMetrics are the calls and bytes of one side of connections by method.
type trafficMetrics struct {
	calls, bytes *prometheus.CounterVec
	// methods holds the *methodTraffic of each method that was used.
	methods sync.Map
}

// newTrafficMetrics returns the metrics of a side, "server" or "client".
func newTrafficMetrics(registerer prometheus.Registerer, side string) *trafficMetrics {
	factory := promauto.With(registerer)
	return &trafficMetrics{
		calls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_" + side + "_method_calls_total",
			Help: "Requests of calls that were transferred, by method.",
		}, []string{"method"}),
		bytes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_peer_" + side + "_method_bytes_total",
			Help: "Bytes of requests, responses and cancellations before TLS, by method and direction.",
		}, []string{"method", "direction"}),
	}
}

// method returns the traffic of a method, which must be one of a bounded number.
func (m *trafficMetrics) method(name string) *methodTraffic {
	if t, ok := m.methods.Load(name); ok {
		return t.(*methodTraffic)
	}
	t, _ := m.methods.LoadOrStore(name, &methodTraffic{
		calls: m.calls.WithLabelValues(name), in: m.bytes.WithLabelValues(name, "in"), out: m.bytes.WithLabelValues(name, "out"),
	})
	return t.(*methodTraffic)
}

// methodTraffic counts the traffic of a method.
type methodTraffic struct{ calls, in, out prometheus.Counter }

// servedMethods returns the names of the methods of a receiver as calls have them.
func servedMethods(service string, receiver any) map[string]struct{} {
	methods := make(map[string]struct{})
	for i := range reflect.TypeOf(receiver).NumMethod() {
		methods[service+"."+reflect.TypeOf(receiver).Method(i).Name] = struct{}{}
	}
	return methods
}
