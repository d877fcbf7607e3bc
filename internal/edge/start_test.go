package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/edge"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/snapshot"
	"github.com/oatlatch/oatlatch/platform"
	"github.com/oatlatch/oatlatch/platform/standin"
)

const (
	// startUpstreams and startRoutes are the sizes of a large deployment.
	startUpstreams = 600
	startRoutes    = 1400
	// maxStartBytes is what a link of 20 Mbit/s carries in 100 ms, the time within which a
	// host must be ready.
	maxStartBytes = 20_000_000 / 8 / 10
)

// countingProxy relays connections to the store and counts the bytes from it.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newCountingProxy(t *testing.T, target netip.AddrPort) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &countingProxy{listener: listener, target: target.String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go p.relay(conn)
		}
	}()
	return p
}

func (p *countingProxy) address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *countingProxy) relay(conn net.Conn) {
	defer conn.Close()
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer store.Close()
	go func() { _, _ = io.Copy(store, conn) }() // ends when either side closes
	_, _ = io.Copy(io.MultiWriter(conn, (*byteCounter)(&p.bytes)), store)
}

// byteCounter counts the bytes written to it.
type byteCounter atomic.Int64

func (c *byteCounter) Write(p []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(p)))
	return len(p), nil
}

// eventLog collects log lines and runs a function at the first line of an event.
type eventLog struct {
	mu     sync.Mutex
	text   bytes.Buffer
	event  string
	onLine func()
}

func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onLine != nil && bytes.Contains(p, []byte(`"message":"`+l.event+`"`)) {
		l.onLine()
		l.onLine = nil
	}
	return l.text.Write(p)
}

func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *eventLog) contains(event string) bool {
	return strings.Contains(l.String(), `"message":"`+event+`"`)
}

// startedHost is a host whose process a test has started.
type startedHost struct {
	log *eventLog
	// bytesUntilReady is what the host had read from the store when it was ready.
	bytesUntilReady atomic.Int64
	stop            func()
}

// startHost starts a host on free ports that reads the store through a proxy of its own.
func startHost(t *testing.T, store netip.AddrPort, name string) *startedHost {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	return startHostAt(t, store, name, [3]netip.AddrPort{free, free, free}, true)
}

// startHostAt starts a host at the addresses for packets, readiness checks and other hosts,
// that reads the snapshot in the store only if withSnapshot is set.
func startHostAt(t *testing.T, store netip.AddrPort, name string, listen [3]netip.AddrPort, withSnapshot bool) *startedHost {
	t.Helper()
	proxy := newCountingProxy(t, store)
	path := filepath.Join(t.TempDir(), "edge.ini")
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = quay\n[listen]\npacket = %s\nready = %s\npeer = %s\nmetrics =\n[store]\naddress = %s\n", name, listen[0], listen[1], listen[2], proxy.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.LoadEdge(path)
	if err != nil {
		t.Fatal(err)
	}
	h := &startedHost{log: &eventLog{event: "ready"}}
	h.log.onLine = func() { h.bytesUntilReady.Store(proxy.bytes.Load()) }
	logger := zerolog.New(h.log)
	client := platform.NewStore(s.Store.Address)
	var snapshots snapshot.Store
	if withSnapshot {
		snapshots = client
	}
	host, err := edge.New(edge.Options{
		Settings: s, Apply: func(settings.Edge) {}, Store: client, Snapshots: snapshots, Registration: client, Codec: platform.Codec{},
		Check: platform.NewChecker().Check, ReadyPath: platform.ReadyPath, Logger: logger, Now: time.Now, Seed: 1,
		Started: time.Now(), ProcessorTime: func() time.Duration { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx, ctx, edge.NewReloader(path, host.Reload, logger)) }()
	h.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("host %s: %v", name, err)
		}
	})
	t.Cleanup(h.stop)
	return h
}

// fillStore stores the configuration and the upstreams of a large deployment.
func fillStore(t *testing.T, store *standin.Store) {
	t.Helper()
	var routes []standin.Route
	for i := range startRoutes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		routes = append(routes, standin.Route{Address: address, Service: "desk", Repeatable: true, Priority: 1, Timeout: 2500})
	}
	if err := store.Put(standin.ConfigurationKey, standin.Configuration(7, routes, []string{"desk"})); err != nil {
		t.Fatal(err)
	}
	for i := range startUpstreams {
		u := standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%08x", 0x1000+i), Service: "desk", DataCentre: "quay", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		}
		if err := store.Put(u.StoreKey(), u.Registration(false)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRestartedHostsReadLittleBeforeTheyAreReady restarts all hosts of a large deployment
// at once. Each must be ready after what a link of 20 Mbit/s carries in 100 ms, and must
// know all routes and upstreams. The first host of all reads the whole listing.
func TestRestartedHostsReadLittleBeforeTheyAreReady(t *testing.T) {
	g := NewWithT(t)
	store, err := standin.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	fillStore(t, store)
	first := startHost(t, store.Address(), "quay-1")
	g.Eventually(func() bool { return first.log.contains("snapshot_written") }, 20*time.Second).Should(BeTrue())
	g.Expect(first.bytesUntilReady.Load()).To(BeNumerically(">", maxStartBytes), "a listing is too large, so the test would prove nothing")

	var restarted []*startedHost
	for i := range 12 {
		restarted = append(restarted, startHost(t, store.Address(), fmt.Sprintf("quay-%d", 2+i)))
	}
	for _, h := range restarted {
		g.Eventually(func() bool { return h.log.contains("ready") }, 20*time.Second).Should(BeTrue())
		g.Expect(h.bytesUntilReady.Load()).To(BeNumerically("<=", maxStartBytes))
		g.Expect(h.log.contains("snapshot_read")).To(BeTrue())
		g.Expect(h.log.contains("page_listed")).To(BeFalse())
		g.Expect(h.log.String()).To(ContainSubstring(fmt.Sprintf(`"version":7,"upstreams":%d`, startUpstreams)))
	}
}
