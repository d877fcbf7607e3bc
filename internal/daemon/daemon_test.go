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
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{})
	os.Exit(m.Run())
}

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

// stateTimeout is how long a spec waits for an expected state.
const stateTimeout = 20 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// lockedBuffer is a buffer for log lines that is safe for concurrent use.
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

// runningDaemon is a daemon whose Run method executes in a goroutine.
type runningDaemon struct {
	*daemon.Daemon
	log *lockedBuffer
	// stop starts a graceful stop.
	stop context.CancelFunc
	// force ends the daemon without a graceful stop.
	force context.CancelFunc
	// done receives the result of Run.
	done chan error
}

func hostSettings(id string, platformURL string, tls settings.TLS, seeds ...netip.AddrPort) settings.Settings {
	return settings.Settings{
		Host:     settings.Host{ID: id, DataCentre: "casa-quay", Region: "casa-north"},
		Listen:   settings.Listen{Peer: anyPort, Packet: anyPort, Request: anyPort, Admin: anyPort},
		Peers:    settings.Peers{Seeds: seeds},
		Platform: settings.Platform{Addresses: []string{platformURL}, Deadline: time.Second, CallsPerSecond: 10},
		TLS:      tls,
		Limits:   settings.Limits{Flows: 4096, Workers: 1, Connections: 16, RequestBody: 1 << 16, RequestHeader: 1 << 14, Queue: 8, Deadline: time.Second},
		Stop:     settings.Stop{TimeLimit: 30 * time.Second},
	}
}

func startDaemon(s settings.Settings, incarnation host.Incarnation) *runningDaemon {
	log := &lockedBuffer{}
	d, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.New(log), Now: time.Now, Seed: 1, Incarnation: incarnation})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	forceCtx, force := context.WithCancel(context.Background())
	r := &runningDaemon{Daemon: d, log: log, stop: stop, force: force, done: make(chan error, 1)}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		r.done <- d.Run(ctx, forceCtx)
	}()
	DeferCleanup(func() { stop(); force(); <-returned })
	return r
}

func (r *runningDaemon) configVersion() config.Version { return r.Snapshot().Version() }

// liveMembers returns the number of live hosts in the daemon's membership view.
func (r *runningDaemon) liveMembers() int {
	count := 0
	for _, m := range r.Status().Members.Members {
		if m.State == "live" {
			count++
		}
	}
	return count
}

// publishService publishes one service with the given drain limit. A different limit makes
// a new configuration version.
func publishService(url string, drainLimit time.Duration) {
	client := newPlatformClient(url)
	_, err := publishrunner.Publish(context.Background(), client, publishrunner.Options{Operator: "test"}, []service.Service{{
		Name: "berth-desk", Region: "casa-north", Protocol: service.TCP, Prefer: service.PreferFlows,
		Address: netip.MustParseAddrPort("203.0.113.10:443"), RequestHost: "berth-desk.example", DrainLimit: drainLimit,
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
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }, stateTimeout).Should(Succeed()) })
		var err error
		server, err = platform.New(platform.Options{})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})

	It("joins its peers over mutual TLS, keeps running across a TLS reload and stops without leaking goroutines", func() {
		ca := newCA()
		first := startDaemon(hostSettings("one", server.URL(), issueTLS(ca, "one")), 1)
		second := startDaemon(hostSettings("two", server.URL(), issueTLS(ca, "two"), first.Self().PeerAddress), 2)
		publishService(server.URL(), time.Hour)
		Eventually(first.liveMembers, stateTimeout).Should(Equal(2))
		Eventually(second.configVersion, stateTimeout).Should(BeNumerically("==", 1))

		Expect(first.ReloadKeys()).To(Succeed())
		Expect(second.ReloadKeys()).To(Succeed())
		publishService(server.URL(), 2*time.Hour)
		Eventually(first.configVersion, stateTimeout).Should(BeNumerically("==", 2))
		Eventually(second.configVersion, stateTimeout).Should(BeNumerically("==", 2))
		Expect(second.liveMembers()).To(Equal(2))

		first.stop()
		Eventually(first.done, stateTimeout).Should(Receive(BeNil()))
		Expect(first.log.String()).To(ContainSubstring("stopped"))
		Eventually(second.liveMembers, stateTimeout).Should(Equal(1))
	})

	It("rejects a peer whose certificate is signed by another CA", func() {
		first := startDaemon(hostSettings("one", server.URL(), issueTLS(newCA(), "one")), 1)
		second := startDaemon(hostSettings("two", server.URL(), issueTLS(newCA(), "two"), first.Self().PeerAddress), 2)
		Eventually(second.log.String, stateTimeout).Should(ContainSubstring("peer_dial_failed"))
		Expect(first.liveMembers()).To(Equal(1))
		Expect(second.liveMembers()).To(Equal(1))
	})

	It("adopts its configuration from a peer while the platform is down", func() {
		first := startDaemon(hostSettings("one", server.URL(), settings.TLS{}), 1)
		publishService(server.URL(), time.Hour)
		Eventually(first.configVersion, stateTimeout).Should(BeNumerically("==", 1))
		server.SetFaults(fake.Faults{Down: true})
		second := startDaemon(hostSettings("two", server.URL(), settings.TLS{}, first.Self().PeerAddress), 2)
		Eventually(second.configVersion, stateTimeout).Should(BeNumerically("==", 1))
	})

	It("reports why it is not ready when neither the platform nor a peer can be reached", func() {
		server.SetFaults(fake.Faults{Down: true})
		isolated := startDaemon(hostSettings("one", server.URL(), settings.TLS{}), 1)
		Eventually(func() string { return isolated.Status().NotReady }, stateTimeout).Should(ContainSubstring("bring the platform back"))
	})

	It("rejects a certificate for another host or data centre than the settings", func() {
		s := hostSettings("one", server.URL(), issueTLS(newCA(), "two"))
		_, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("settings:tls.certificate")))
		s = hostSettings("one", server.URL(), issueTLS(newCA(), "one"))
		s.Host.DataCentre = "tanger-quay"
		_, err = daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("oatlatch://tanger-quay/one")))
	})

	It("names the setting when an address is already in use", func() {
		s := hostSettings("one", server.URL(), settings.TLS{})
		s.Listen.Request = server.Addr()
		_, err := daemon.New(daemon.Options{Settings: s, Logger: zerolog.Nop(), Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("settings:listen.request")))
	})
})
