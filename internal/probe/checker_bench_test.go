package probe

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
)

// BenchmarkScalingCheck measures the CPU time of one health check with a load report,
// including that of the HTTP server.
func BenchmarkScalingCheck(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/load" {
			_ = json.NewEncoder(w).Encode(health.Report{Load: 0.5, SlotsInUse: 1, Connections: 50})
		}
	}))
	defer server.Close()
	checker := newChecker()
	defer checker.close()
	t := target{address: netip.MustParseAddrPort(server.Listener.Addr().String()), healthPath: "/health", loadPath: "/load"}
	before := cpuTime(b)
	checks := 0
	for b.Loop() {
		if check := checker.check(context.Background(), t); check.Outcome != health.Passed || check.Report == nil {
			b.Fatalf("check failed: %+v", check)
		}
		checks++
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(checks), "cpu-µs/check")
}

// cpuTime returns the user and system time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
