// Package admin serves read-only status and metrics to operators.
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

// Limits of operators' connections.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 8 << 10
)

// Options hold what is shown.
type Options struct {
	// Status returns a value that encodes as JSON.
	Status func() any
	// Explain returns the decision for a flow.
	Explain func(flow.Key) flow.Explanation
	// Ready tells whether the host serves, and if not, why.
	Ready    func() (bool, string)
	Gatherer prometheus.Gatherer
}

// NewServer returns a server of /status, /explain, /ready and /metrics.
func NewServer(options Options) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, options.Status()) })
	mux.HandleFunc("GET /explain", options.explain)
	mux.HandleFunc("GET /ready", options.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(options.Gatherer, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (o Options) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := o.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o Options) explain(w http.ResponseWriter, r *http.Request) {
	key, err := ParseKey(r.FormValue("protocol"), r.FormValue("source"), r.FormValue("destination"))
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

// ParseKey reads a flow from text. The error names the form to write.
func ParseKey(protocol, source, destination string) (flow.Key, error) {
	numbers := map[string]service.Protocol{"tcp": service.TCP, "udp": service.UDP}
	number, ok := numbers[protocol]
	if !ok {
		return flow.Key{}, &KeyError{Part: "protocol", Text: protocol, Remedy: "tcp or udp"}
	}
	from, err := netip.ParseAddrPort(source)
	if err != nil {
		return flow.Key{}, &KeyError{Part: "source", Text: source, Remedy: "IP:port, such as 198.51.100.7:40000"}
	}
	to, err := netip.ParseAddrPort(destination)
	if err != nil {
		return flow.Key{}, &KeyError{Part: "destination", Text: destination, Remedy: "IP:port, such as 203.0.113.10:443"}
	}
	return flow.Key{Protocol: number, Source: from, Destination: to}, nil
}
