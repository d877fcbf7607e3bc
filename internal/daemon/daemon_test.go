package daemon_test

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publisher"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/standin/fixed"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
)

func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{})
	os.Exit(m.Run())
}

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

// reachTimeout is how long a state may take to be reached before a spec fails.
const reachTimeout = 20 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// lockedBuffer takes log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// running is a daemon that Run serves.
type running struct {
	*daemon.Daemon
	log  *lockedBuffer
	stop context.CancelFunc
	// cut ends the daemon without a planned stop.
	cut  context.CancelFunc
	done chan error
}

func hostSettings(id string, platformURL string, keys settings.TLS, seeds ...netip.AddrPort) settings.Settings {
	return settings.Settings{
		Host:     settings.Host{ID: id, DataCentre: "casa-quay", Region: "casa-north"},
		Listen:   settings.Listen{Peer: anyPort, Packet: anyPort, Request: anyPort, Admin: anyPort},
		Peers:    settings.Peers{Seeds: seeds},
		Platform: settings.Platform{Addresses: []string{platformURL}, Deadline: time.Second, CallsPerSecond: 10},
		TLS:      keys,
		Limits:   settings.Limits{Flows: 4096, Workers: 1, Connections: 16, RequestBody: 1 << 16, RequestHeader: 1 << 14, Queue: 8, Deadline: time.Second},
		Stop:     settings.Stop{TimeLimit: 30 * time.Second},
	}
}

func start(s settings.Settings, incarnation host.Incarnation) *running {
	log := &lockedBuffer{}
	d, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.New(log), Now: time.Now, Seed: 1, Incarnation: incarnation})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	force, cut := context.WithCancel(context.Background())
	r := &running{Daemon: d, log: log, stop: stop, cut: cut, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- d.Run(ctx, force)
	}()
	DeferCleanup(func() { stop(); cut(); <-ended })
	return r
}

func (r *running) version() config.Version { return r.Snapshot().Version() }

func (r *running) live() int {
	number := 0
	for _, m := range r.Status().Members.Members {
		if m.State == "live" {
			number++
		}
	}
	return number
}

func publishOne(url string, limit time.Duration) {
	port := openPlatform(url)
	_, err := publisher.Publish(context.Background(), port, publisher.Options{Operator: "test"}, []service.Service{{
		Name: "berth-desk", Region: "casa-north", Protocol: service.TCP, Prefer: service.PreferFlows,
		Address: netip.MustParseAddrPort("203.0.113.10:443"), RequestHost: "berth-desk.example", DrainLimit: limit,
		IdleTimeout: time.Minute, SlowStart: time.Second, DeviationThreshold: 0.3,
		Upstreams: []service.Upstream{{
			Name: "one", DataCentre: "casa-quay", Weight: 1, Slots: 1, Connections: 10, State: service.AdminActive,
			Address: netip.MustParseAddrPort("127.0.0.1:9"), PacketAddress: netip.MustParseAddrPort("127.0.0.1:9"),
		}},
	}})
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("Daemon", func() {
	var server *platform.Server

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }, reachTimeout).Should(Succeed()) })
		var err error
		server, err = platform.New(platform.Options{})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})

	It("joins its peers over mutual TLS, keeps going through a reload of keys and leaves nothing running", func() {
		signer := newAuthority()
		first := start(hostSettings("one", server.URL(), issue(signer, "one")), 1)
		second := start(hostSettings("two", server.URL(), issue(signer, "two"), first.Self().PeerAddress), 2)
		publishOne(server.URL(), time.Hour)
		Eventually(first.live, reachTimeout).Should(Equal(2))
		Eventually(second.version, reachTimeout).Should(BeNumerically("==", 1))

		Expect(first.ReloadKeys()).To(Succeed())
		Expect(second.ReloadKeys()).To(Succeed())
		publishOne(server.URL(), 2*time.Hour)
		Eventually(first.version, reachTimeout).Should(BeNumerically("==", 2))
		Eventually(second.version, reachTimeout).Should(BeNumerically("==", 2))
		Expect(second.live()).To(Equal(2))

		first.stop()
		Eventually(first.done, reachTimeout).Should(Receive(BeNil()))
		Expect(first.log.String()).To(ContainSubstring("stopped"))
		Eventually(second.live, reachTimeout).Should(Equal(1))
	})

	It("refuses a peer whose keys another authority signed", func() {
		first := start(hostSettings("one", server.URL(), issue(newAuthority(), "one")), 1)
		second := start(hostSettings("two", server.URL(), issue(newAuthority(), "two"), first.Self().PeerAddress), 2)
		Eventually(second.log.String, reachTimeout).Should(ContainSubstring("peer_dial_failed"))
		Expect(first.live()).To(Equal(1))
		Expect(second.live()).To(Equal(1))
	})

	It("takes its configuration from a peer while the platform is down", func() {
		first := start(hostSettings("one", server.URL(), settings.TLS{}), 1)
		publishOne(server.URL(), time.Hour)
		Eventually(first.version, reachTimeout).Should(BeNumerically("==", 1))
		server.SetFaults(fake.Faults{Down: true})
		second := start(hostSettings("two", server.URL(), settings.TLS{}, first.Self().PeerAddress), 2)
		Eventually(second.version, reachTimeout).Should(BeNumerically("==", 1))
	})

	It("says why it is not ready when neither the platform nor a peer answers", func() {
		server.SetFaults(fake.Faults{Down: true})
		only := start(hostSettings("one", server.URL(), settings.TLS{}), 1)
		Eventually(func() string { return only.Status().NotReady }, reachTimeout).Should(ContainSubstring("bring the platform back"))
	})

	It("refuses keys of another host or data centre than the settings", func() {
		s := hostSettings("one", server.URL(), issue(newAuthority(), "two"))
		_, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("settings:tls.certificate")))
		s = hostSettings("one", server.URL(), issue(newAuthority(), "one"))
		s.Host.DataCentre = "tanger-quay"
		_, err = daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("oatlatch://tanger-quay/one")))
	})

	It("names the setting when an address is taken", func() {
		s := hostSettings("one", server.URL(), settings.TLS{})
		s.Listen.Request = server.Addr()
		_, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("settings:listen.request")))
	})
})
