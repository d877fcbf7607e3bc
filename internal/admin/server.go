// Package admin implements the HTTP server through which operators read the status and
// the metrics of a host. All endpoints are read-only.
package admin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Timeouts and size limit of the server's HTTP requests and responses.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 8 << 10
)

// Options provide the contents of the server's responses.
type Options struct {
	// Status returns the value that /status encodes as JSON.
	Status func() any
	// Explain returns the forwarding decision for a flow and how it is made.
	Explain func(flow.Key) flow.Explanation
	// Ready reports whether the host is ready to serve and, if not, the reason.
	Ready func() (bool, string)
	// Gatherer collects the metrics that /metrics returns.
	Gatherer prometheus.Gatherer
}

// NewServer returns a server for the endpoints /status, /explain, /ready and /metrics. The
// caller must start it on a listener.
func NewServer(options Options) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, options.Status()) })
	mux.HandleFunc("GET /explain", options.handleExplain)
	mux.HandleFunc("GET /ready", options.handleReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(options.Gatherer, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// handleReady responds with status 200 if the host is ready and 503 with the reason if not.
func (o Options) handleReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := o.Ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handleExplain explains the decision for the flow in the query parameters protocol, source
// and destination.
func (o Options) handleExplain(w http.ResponseWriter, r *http.Request) {
	key, err := ParseFlowKey(r.FormValue("protocol"), r.FormValue("source"), r.FormValue("destination"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, o.Explain(key))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// ParseFlowKey parses the protocol (tcp or udp) and the IP:port addresses of a flow. An
// error is a *FlowKeyError.
func ParseFlowKey(protocol, source, destination string) (flow.Key, error) {
	protocols := map[string]service.Protocol{"tcp": service.TCP, "udp": service.UDP}
	protocolNumber, ok := protocols[protocol]
	if !ok {
		return flow.Key{}, &FlowKeyError{Field: "protocol", Value: protocol, Expected: "tcp or udp"}
	}
	sourceAddress, err := netip.ParseAddrPort(source)
	if err != nil {
		return flow.Key{}, &FlowKeyError{Field: "source", Value: source, Expected: "IP:port, such as 198.51.100.7:40000"}
	}
	destinationAddress, err := netip.ParseAddrPort(destination)
	if err != nil {
		return flow.Key{}, &FlowKeyError{Field: "destination", Value: destination, Expected: "IP:port, such as 203.0.113.10:443"}
	}
	return flow.Key{Protocol: protocolNumber, Source: sourceAddress, Destination: destinationAddress}, nil
}
