package admin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oatlatch/oatlatch/internal/admin"
	"github.com/oatlatch/oatlatch/internal/flow"
)

// startServer starts a server with fixed contents that reports the given readiness.
func startServer(t *testing.T, ready bool) *httptest.Server {
	t.Helper()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "oatlatch_test_total", Help: "Test."})
	registry := prometheus.NewRegistry()
	registry.MustRegister(counter)
	server := httptest.NewServer(admin.NewServer(admin.Options{
		Status:   func() any { return struct{ Version int }{7} },
		Explain:  func(k flow.Key) flow.Explanation { return flow.Explanation{Key: k, Upstream: "one"} },
		Ready:    func() (bool, string) { return ready, "no configuration adopted" },
		Gatherer: registry,
	}).Handler)
	t.Cleanup(server.Close)
	return server
}

func TestEndpoints(t *testing.T) {
	cases := []struct {
		name, method, path string
		ready              bool
		status             int
		want               string
	}{
		{"status", "GET", "/status", true, 200, `"Version": 7`},
		{"metrics", "GET", "/metrics", true, 200, "oatlatch_test_total 0"},
		{"ready", "GET", "/ready", true, 200, "ready"},
		{"not ready", "GET", "/ready", false, 503, "no configuration adopted"},
		{"explain", "GET", "/explain?protocol=tcp&source=198.51.100.7:1&destination=203.0.113.10:443", true, 200, `"Upstream": "one"`},
		{"explain without protocol", "GET", "/explain?source=198.51.100.7:1&destination=203.0.113.10:443", true, 400, "must be tcp or udp"},
		{"explain with a host name as source", "GET", "/explain?protocol=udp&source=berth:1&destination=203.0.113.10:443", true, 400, `source "berth:1" is invalid`},
		{"explain with an invalid port", "GET", "/explain?protocol=udp&source=198.51.100.7:1&destination=203.0.113.10:99999", true, 400, "destination"},
		{"POST to status", "POST", "/status", true, 405, "Method Not Allowed"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, startServer(t, test.ready).URL+test.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.status || !strings.Contains(string(body), test.want) {
				t.Errorf("want %d with %q, got %d:\n%s", test.status, test.want, response.StatusCode, body)
			}
		})
	}
}
