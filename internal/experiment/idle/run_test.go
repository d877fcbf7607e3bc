package idle

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestHostsAreMeasured guards against a measurement that reads nothing, which would take any
// build for a cheap one.
func TestHostsAreMeasured(t *testing.T) {
	g := NewWithT(t)
	daemon := filepath.Join(t.TempDir(), "oatlatchd")
	out, err := exec.Command("go", "build", "-o", daemon, "../../../cmd/oatlatchd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	options := Options{Daemon: daemon, DataCentres: 1, Hosts: 2, Upstreams: 4, Routes: 2, Duration: time.Second}
	r, err := Run(context.Background(), options)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Hosts).To(HaveLen(2))
	for _, h := range r.Hosts {
		g.Expect(h.Wakeups).To(BeNumerically(">", 0))
		g.Expect(h.PeakMB).To(BeNumerically(">", 1))
		g.Expect(h.Files).To(BeNumerically(">", 5))
	}
	options.Hosts = 0
	_, err = Run(context.Background(), options)
	g.Expect(err).To(HaveOccurred())
}

func TestCallsAndBytesAreReadFromMetrics(t *testing.T) {
	g := NewWithT(t)
	s := sample{calls: make(map[string]float64), bytes: make(map[string]float64)}
	g.Expect(s.addMetrics(strings.NewReader(`# TYPE oatlatch_peer_client_connections gauge
oatlatch_peer_client_connections 2
# TYPE oatlatch_peer_server_connections gauge
oatlatch_peer_server_connections 3
# TYPE oatlatch_peer_client_method_calls_total counter
oatlatch_peer_client_method_calls_total{method="Catalog2.Watch"} 7
# TYPE oatlatch_peer_server_method_bytes_total counter
oatlatch_peer_server_method_bytes_total{direction="in",method="Catalog2.Watch"} 100
oatlatch_peer_server_method_bytes_total{direction="out",method="Catalog2.Watch"} 50
`))).To(Succeed())
	g.Expect(s.connections).To(BeEquivalentTo(5))
	g.Expect(s.calls).To(HaveKeyWithValue("client Catalog2.Watch", 7.0))
	g.Expect(s.bytes).To(HaveKeyWithValue("server Catalog2.Watch", 150.0))
}
