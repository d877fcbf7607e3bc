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

// shutdownTimeout is how long Run waits for requests in flight when it ends. It is
// also the timeout for reading request headers.
const shutdownTimeout = 5 * time.Second

// Upstream is a stand-in for an upstream.
type Upstream struct {
	options    Options
	listener   net.Listener
	packetConn *net.UDPConn
	slots      chan struct{}
	started    time.Time

	mu        sync.Mutex
	serviceID service.ID
	faults    Faults
	draining  bool
	// inFlight is the number of requests that are running or waiting for a slot.
	inFlight     int
	peakInFlight int
	shedCount    int
	runs         []*Run
	flows        map[flowKey]*FlowStats
	// openFlows is the number of flows that have not ended.
	openFlows int
	// received, misdelivered and malformed count packets. Those misdelivered are
	// part of those received, those malformed are not.
	received     uint64
	misdelivered uint64
	malformed    uint64
}

// New returns a stand-in that already listens on its sockets.
func New(options Options) (*Upstream, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", listenAddress(options.Upstream.Address))
	if err != nil {
		return nil, fmt.Errorf("upstream: cannot listen for requests, choose a free address: %w", err)
	}
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(packetListenAddress(options)))
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("upstream: cannot listen for packets, choose a free address: %w", err)
	}
	u := &Upstream{
		options:    options,
		serviceID:  options.Service,
		packetConn: packetConn,
		slots:      make(chan struct{}, options.Upstream.Slots),
		started:    options.Now(),
		flows:      make(map[flowKey]*FlowStats),
	}
	u.listener = &faultyListener{Listener: listener, faults: u.currentFaults}
	return u, nil
}

func listenAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return "127.0.0.1:0"
	}
	return address.String()
}

func packetListenAddress(options Options) netip.AddrPort {
	if options.Upstream.PacketAddress.IsValid() {
		return options.Upstream.PacketAddress
	}
	return netip.MustParseAddrPort("127.0.0.1:0")
}

// Run serves requests and receives packets until ctx is cancelled. It then waits for
// requests in flight to finish, for at most shutdownTimeout.
func (u *Upstream) Run(ctx context.Context) error {
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: shutdownTimeout}
	var wg sync.WaitGroup
	var serveErr, receiveErr error
	wg.Go(func() { serveErr = server.Serve(u.listener) })
	wg.Go(func() { receiveErr = u.receivePackets() })
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	shutdownErr := server.Shutdown(shutdownCtx)
	u.packetConn.Close()
	wg.Wait()
	if errors.Is(serveErr, http.ErrServerClosed) {
		serveErr = nil
	}
	return errors.Join(serveErr, receiveErr, shutdownErr)
}

// Close closes the sockets of a stand-in on which Run is not called.
func (u *Upstream) Close() error { return errors.Join(u.listener.Close(), u.packetConn.Close()) }

// HTTPAddr returns the address that receives requests.
func (u *Upstream) HTTPAddr() netip.AddrPort { return u.listener.Addr().(*net.TCPAddr).AddrPort() }

// PacketAddr returns the address that receives packets.
func (u *Upstream) PacketAddr() netip.AddrPort {
	return u.packetConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Drain makes the stand-in shed new requests and fail health checks. Requests in
// flight finish.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Resume ends a drain and begins a new cold start.
func (u *Upstream) Resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = false
	u.started = u.options.Now()
}

// SetService changes the service of the upstream. Packets received before are not
// checked again for misdelivery.
func (u *Upstream) SetService(id service.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceID = id
}

// SetFaults replaces the injected faults. The faults of connections apply only to
// connections accepted afterwards.
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

// Runs returns the requests run so far, in the order of their start.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]Run, 0, len(u.runs))
	for _, run := range u.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RunCount returns the number of times that the request ran.
func (u *Upstream) RunCount(requestID string) int {
	runs := u.Runs()
	runs = slices.DeleteFunc(runs, func(r Run) bool { return r.RequestID != requestID })
	return len(runs)
}

// PeakInFlight returns the largest number of requests that were in flight at once. A
// request that is shed counts as in flight when it arrives.
func (u *Upstream) PeakInFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peakInFlight
}

// InFlight returns the number of requests that are running or waiting for a slot.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight
}

// ShedCount returns the number of requests that were shed on arrival.
func (u *Upstream) ShedCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shedCount
}
