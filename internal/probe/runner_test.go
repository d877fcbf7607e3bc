package probe

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{})
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestProbe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "probe")
}

// fakeUpstream is an HTTP server that answers health checks and serves a load report.
type fakeUpstream struct {
	server *httptest.Server
	// draining makes it report that it is draining.
	draining atomic.Bool
	// failing makes it answer health checks with an error.
	failing atomic.Bool
}

func newFakeUpstream() *fakeUpstream {
	u := &fakeUpstream{}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case u.draining.Load():
			w.Header().Set(drainingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case u.failing.Load():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(health.Report{Load: 0.5, SlotsInUse: 1, Connections: 50})
	})
	u.server = httptest.NewServer(mux)
	DeferCleanup(u.server.Close)
	return u
}

func (u *fakeUpstream) address() netip.AddrPort {
	return netip.MustParseAddrPort(u.server.Listener.Addr().String())
}

// snapshotOf returns a configuration of one service with upstreams named "a", "b" and
// so on.
func snapshotOf(healthPath, loadPath string, upstreams ...*fakeUpstream) *config.Snapshot {
	s := service.Service{
		Name: "call-desk", ID: 1, HealthPath: healthPath, LoadPath: loadPath,
		DrainLimit: time.Minute, SlowStart: time.Minute,
	}
	for i, u := range upstreams {
		s.Upstreams = append(s.Upstreams, service.Upstream{
			Name: string(rune('a' + i)), Address: u.address(), Weight: 1, Slots: 2, Connections: 100, State: service.AdminActive,
		})
	}
	return &config.Snapshot{Services: []service.Service{s}}
}

// startRunner starts a runner and stops it when the spec ends.
func startRunner() *Runner {
	r := New(Options{Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, "5s").Should(Receive(BeNil()))
	})
	return r
}

// statesByName returns a function that gets the current states by upstream name.
func statesByName(r *Runner) func() map[string]health.State {
	return func() map[string]health.State {
		states := make(map[string]health.State)
		for _, upstream := range r.View().Upstreams {
			states[upstream.Name] = upstream.State
		}
		return states
	}
}

var _ = Describe("checks of upstreams", func() {
	It("determine the states of healthy, failing, draining and stopped upstreams and read load reports", func() {
		upstreams := []*fakeUpstream{newFakeUpstream(), newFakeUpstream(), newFakeUpstream(), newFakeUpstream(), newFakeUpstream(), newFakeUpstream()}
		upstreams[1].failing.Store(true)
		upstreams[2].draining.Store(true)
		snapshot := snapshotOf("/health", "/load", upstreams...)
		upstreams[3].server.Close()
		r := startRunner()
		r.Adopt(snapshot)
		Eventually(statesByName(r), "5s").Should(Equal(map[string]health.State{
			"a": health.Up, "b": health.Suspect, "c": health.Draining, "d": health.Suspect, "e": health.Up, "f": health.Up,
		}))
		Eventually(func() float64 { return r.View().Upstreams[0].Load }, "3s").Should(Equal(0.5))
		Expect(r.Status()[0].Service).To(Equal("call-desk"))
		upstreams[0].draining.Store(true)
		Eventually(statesByName(r), "3s").Should(HaveKeyWithValue("a", health.Draining))
	})

	It("connect over TCP without a path and detect a refused connection", func() {
		reachable, stopped, third := newFakeUpstream(), newFakeUpstream(), newFakeUpstream()
		snapshot := snapshotOf("", "", reachable, stopped, third)
		stopped.server.Close()
		r := startRunner()
		r.Adopt(snapshot)
		Eventually(statesByName(r), "5s").Should(Equal(map[string]health.State{"a": health.Up, "b": health.Suspect, "c": health.Up}))
	})

	It("are not delayed by an upstream that never answers", func() {
		silent := &fakeUpstream{server: httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
		}))}
		DeferCleanup(silent.server.Close)
		healthy, third := newFakeUpstream(), newFakeUpstream()
		r := startRunner()
		r.Adopt(snapshotOf("/health", "/load", healthy, silent, third))
		Eventually(statesByName(r), "8s").Should(Equal(map[string]health.State{"a": health.Up, "b": health.Suspect, "c": health.Up}))
		Expect(r.View().Upstreams[0].Load).To(Equal(0.5))
	})
})
