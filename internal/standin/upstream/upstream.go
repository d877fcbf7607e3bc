package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// shutdownTimeout bounds the wait for requests in progress when Run ends.
const shutdownTimeout = 5 * time.Second

// Upstream is a running stand-in.
type Upstream struct {
	options Options
	http    net.Listener
	packets *net.UDPConn
	slots   chan struct{}
	started time.Time

	mu       sync.Mutex
	service  service.ID
	faults   Faults
	draining bool
	present  int
	peak     int
	shed     int
	runs     []*Run
	flows    map[flowKey]*FlowCount
	// open counts the flows that have not ended.
	open      int
	received  uint64
	misplaced uint64
	malformed uint64
}

// New opens the sockets of a stand-in.
func New(options Options) (*Upstream, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", listenAddress(options.Upstream.Address))
	if err != nil {
		return nil, fmt.Errorf("upstream: requests cannot be taken: choose a free address: %w", err)
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(packetAddress(options)))
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("upstream: packets cannot be taken: choose a free address: %w", err)
	}
	u := &Upstream{
		options: options,
		service: options.Service,
		packets: packets,
		slots:   make(chan struct{}, options.Upstream.Slots),
		started: options.Now(),
		flows:   make(map[flowKey]*FlowCount),
	}
	u.http = &faultyListener{Listener: listener, faults: u.currentFaults}
	return u, nil
}

func listenAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return "127.0.0.1:0"
	}
	return address.String()
}

func packetAddress(options Options) netip.AddrPort {
	if options.Upstream.PacketAddress.IsValid() {
		return options.Upstream.PacketAddress
	}
	return netip.MustParseAddrPort("127.0.0.1:0")
}

// Run serves until ctx ends and lets requests in progress finish.
func (u *Upstream) Run(ctx context.Context) error {
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: shutdownTimeout}
	var duties sync.WaitGroup
	var serveErr, receiveErr error
	duties.Go(func() { serveErr = server.Serve(u.http) })
	duties.Go(func() { receiveErr = u.receive() })
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	shutdownErr := server.Shutdown(stop)
	u.packets.Close()
	duties.Wait()
	if errors.Is(serveErr, http.ErrServerClosed) {
		serveErr = nil
	}
	return errors.Join(serveErr, receiveErr, shutdownErr)
}

// Close releases the sockets of a stand-in that is not run.
func (u *Upstream) Close() error { return errors.Join(u.http.Close(), u.packets.Close()) }

// HTTPAddr returns the address that takes requests.
func (u *Upstream) HTTPAddr() netip.AddrPort { return u.http.Addr().(*net.TCPAddr).AddrPort() }

// PacketAddr returns the address that takes packets.
func (u *Upstream) PacketAddr() netip.AddrPort {
	return u.packets.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Drain refuses new requests and lets those in progress finish.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Resume ends a drain, and starts a cold start anew.
func (u *Upstream) Resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = false
	u.started = u.options.Now()
}

// SetService changes the service whose packets the stand-in takes. Packets that
// came before are not judged again.
func (u *Upstream) SetService(id service.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.service = id
}

// SetFaults replaces the faults; those of connections take effect on new ones.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

func (u *Upstream) currentFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// Runs returns a copy of the ledger of runs in the order of their start.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]Run, 0, len(u.runs))
	for _, run := range u.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RunCount returns how often the request ran.
func (u *Upstream) RunCount(requestID string) int {
	runs := u.Runs()
	runs = slices.DeleteFunc(runs, func(r Run) bool { return r.RequestID != requestID })
	return len(runs)
}

// Peak returns the largest number of requests that were present at once.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// Present returns the number of requests that run or wait for a slot.
func (u *Upstream) Present() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.present
}

// ShedCount returns the number of requests refused before they ran.
func (u *Upstream) ShedCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shed
}
