package soak

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// newTestProxy returns a proxy and the listener to which it relays.
func newTestProxy(t *testing.T) (*proxy, net.Listener) {
	t.Helper()
	store, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := newProxy(store.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.close(); _ = store.Close() })
	return p, store
}

// TestProxyClosesBothSides covers a host that closes its connection: the connection to the
// store must not stay open.
func TestProxyClosesBothSides(t *testing.T) {
	g := NewWithT(t)
	p, store := newTestProxy(t)
	conn, err := net.Dial("tcp", p.address().String())
	g.Expect(err).NotTo(HaveOccurred())
	relayed, err := store.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer relayed.Close()
	g.Expect(conn.Close()).To(Succeed())
	g.Expect(relayed.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = relayed.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// TestProxyResetsConnectionsBeingAccepted covers a connection that was accepted before the
// proxy began to reset connections and is relayed after that.
func TestProxyResetsConnectionsBeingAccepted(t *testing.T) {
	g := NewWithT(t)
	p, _ := newTestProxy(t)
	p.setMode(modeReset)
	host, accepted := net.Pipe()
	go p.serve(accepted)
	g.Expect(host.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err := host.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// TestAwaitReadyAwaitsTheFirstCheck covers a host that has never answered a readiness
// check.
func TestAwaitReadyAwaitsTheFirstCheck(t *testing.T) {
	g := NewWithT(t)
	store, err := standin.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	silent, err := net.Listen("tcp", "127.10.0.1:0") // accepts checks and never answers them
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	r := &soakRun{options: Options{Daemon: "/bin/false", Hosts: 1}, dir: t.TempDir(), store: store, recorder: standin.NewRecorder()}
	r.log = &syncWriter{w: io.Discard}
	r.basePort = uint16(silent.Addr().(*net.TCPAddr).Port) - 1
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	defer r.tearDown()
	g.Expect(r.startHosts(ctx)).To(MatchError(ContainSubstring("-a-0 is not ready")))
}

// TestNoProcessStartsDuringShutdown covers a restart that begins while the run ends: nothing
// would stop the process.
func TestNoProcessStartsDuringShutdown(t *testing.T) {
	g := NewWithT(t)
	r := &soakRun{options: Options{Daemon: "/bin/true"}, log: &syncWriter{w: io.Discard}, recorder: standin.NewRecorder()}
	h := &hostProcess{run: r, name: "a", settingsFile: filepath.Join(t.TempDir(), "a.ini")}
	r.shuttingDown.Store(true)
	g.Expect(h.start()).To(Succeed())
	g.Expect(h.cmd).To(BeNil())
}

// TestSignalToEndedProcessDoesNotExcuseTheNext covers a signal that is sent between the exit
// of a process and its restart: an unexpected exit of the next process is a violation.
func TestSignalToEndedProcessDoesNotExcuseTheNext(t *testing.T) {
	g := NewWithT(t)
	r := &soakRun{options: Options{Daemon: "/bin/true"}, log: &syncWriter{w: io.Discard}, recorder: standin.NewRecorder()}
	h := &hostProcess{run: r, name: "a", settingsFile: filepath.Join(t.TempDir(), "a.ini"), stopRequested: true}
	g.Expect(h.start()).To(Succeed())
	defer r.shuttingDown.Store(true)
	<-h.exited
	g.Expect(r.recorder.Violations()).To(ContainElement(ContainSubstring("exited unexpectedly")))
}

// TestRunsReserveSeparatePorts covers runs at the same time, of which one could not bind a
// port that another used.
func TestRunsReserveSeparatePorts(t *testing.T) {
	g := NewWithT(t)
	used := make(map[uint16]bool)
	for range 300 {
		listener, first, err := reservePorts()
		g.Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		for port := first; port < first+portsPerRun; port++ {
			g.Expect(used[port]).To(BeFalse(), "port %d is reserved twice", port)
			used[port] = true
		}
	}
}
