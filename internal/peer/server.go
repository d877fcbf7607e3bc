package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Self is the ID that this host sends in its greeting. It must be the one in the
	// certificate; if it is empty, the certificate's ID is used.
	Self host.ID
	// Listen is the address to listen on. With port 0 the system chooses the port.
	Listen netip.AddrPort
	// TLS holds this host's keys. If it is nil, the server works without TLS and Listen
	// must be a loopback address.
	TLS        *TLS
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Limits     Limits
}

// Server serves net/rpc calls from other entry hosts.
type Server struct {
	options  ServerOptions
	limits   Limits
	listener *net.TCPListener
	metrics  *serverMetrics
	// handshakeSlots is a semaphore that limits the simultaneous handshakes.
	handshakeSlots chan struct{}

	mu sync.Mutex
	// factories maps service names to the functions that create their receivers.
	factories map[string]func(host.ID) any
	// codecs holds the connections that are served.
	codecs map[*serverCodec]struct{}
	// handshaking holds the connections whose handshake is in progress.
	handshaking map[net.Conn]struct{}
	peers       map[host.ID]*peerUsage
	stopping    bool
	wg          sync.WaitGroup
}

// peerUsage tracks the connections and calls of one peer.
type peerUsage struct {
	connections int
	// slots is a semaphore that limits the peer's calls in flight.
	slots chan struct{}
}

// NewServer returns a server that listens on options.Listen. It accepts connections
// only while Run is running.
func NewServer(options ServerOptions) (*Server, error) {
	if options.TLS == nil && !options.Listen.Addr().IsLoopback() {
		return nil, &Error{Kind: InvalidKeys, Address: options.Listen.String(), Err: errors.New("a server without TLS can only listen on a loopback address")}
	}
	if options.TLS != nil && options.TLS.Identity().Host != options.Self && options.Self != "" {
		return nil, &Error{Kind: WrongIdentity, Peer: options.Self, Err: fmt.Errorf("this host's certificate is for %s", options.TLS.Identity().URI())}
	}
	if options.Self == "" && options.TLS != nil {
		options.Self = options.TLS.Identity().Host
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, &Error{Kind: Unreachable, Address: options.Listen.String(), Err: err}
	}
	limits := options.Limits.withDefaults()
	return &Server{
		options:        options,
		limits:         limits,
		listener:       listener,
		metrics:        newServerMetrics(options.Registerer),
		handshakeSlots: make(chan struct{}, limits.Handshakes),
		factories:      make(map[string]func(host.ID) any),
		codecs:         make(map[*serverCodec]struct{}),
		handshaking:    make(map[net.Conn]struct{}),
		peers:          make(map[host.ID]*peerUsage),
	}, nil
}

// Register makes the methods of a receiver available to peers under the service name.
// The factory is called once for each new connection, with the ID of the connected
// host, which is authenticated if TLS is used.
func (s *Server) Register(name string, factory func(remote host.ID) any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factories[name] = factory
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends. Then it accepts no further calls, gives those in progress
// up to StopTimeout to finish, and returns.
func (s *Server) Run(ctx context.Context) error {
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, s.drain)
	defer stop()
	for {
		conn, err := s.listener.AcceptTCP()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = conn.Close()
			}
			break
		}
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("peer_accept_failed")
			_ = wait.Sleep(ctx, acceptRetryDelay)
			continue
		}
		s.startConn(connCtx, conn)
	}
	s.drain()
	s.awaitConns(cancel)
	return nil
}

// acceptRetryDelay is the delay before the next accept after one has failed, for
// example because the process has run out of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// startConn serves the connection in a new goroutine. It closes the connection instead
// if the limit of simultaneous handshakes is reached or the server is stopping.
func (s *Server) startConn(ctx context.Context, conn net.Conn) {
	select {
	case s.handshakeSlots <- struct{}{}:
	default:
		s.recordRefusal(conn, &Error{Kind: TooManyConnections})
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		<-s.handshakeSlots
		_ = conn.Close()
		return
	}
	s.handshaking[conn] = struct{}{}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.serveConn(ctx, conn)
	}()
}

// drain closes the listener and the connections in the handshake, and makes the other
// connections close once their calls in progress have been answered.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	_ = s.listener.Close()
	for conn := range s.handshaking {
		_ = conn.Close()
	}
	for codec := range s.codecs {
		codec.drain()
	}
}

// awaitConns waits until all connections are closed. After StopTimeout it closes the
// remaining ones and cancels the contexts of their calls.
func (s *Server) awaitConns(cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.limits.StopTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	}
	s.mu.Lock()
	s.options.Logger.Warn().Int("connections", len(s.codecs)).Msg("peer_calls_cut")
	for codec := range s.codecs {
		_ = codec.conn.Close()
	}
	s.mu.Unlock()
	cancel()
	<-done
}

// recordRefusal updates the metrics and the log for a refused connection.
func (s *Server) recordRefusal(conn net.Conn, err error) {
	kind := errorKind(err)
	s.metrics.refused.WithLabelValues(string(kind)).Inc()
	s.options.Logger.Warn().Str("remote", conn.RemoteAddr().String()).Str("reason", string(kind)).Err(err).Msg("peer_refused")
}
