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

// ServerOptions configure a Server.
type ServerOptions struct {
	// Self names this host in the greeting.
	Self host.ID
	// Listen is the peer address; port 0 picks a free one.
	Listen netip.AddrPort
	// TLS holds the keys; nil serves without TLS, which only loopback may do.
	TLS        *TLS
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Limits     Limits
}

// Server answers net/rpc calls of other entry hosts.
type Server struct {
	options  ServerOptions
	limits   Limits
	listener *net.TCPListener
	metrics  *serverMetrics
	// handshakes caps connections that are being set up.
	handshakes chan struct{}

	mu        sync.Mutex
	factories map[string]func(host.ID) any
	codecs    map[*serverCodec]struct{}
	pending   map[net.Conn]struct{}
	peers     map[host.ID]*peerLoad
	stopping  bool
	wait      sync.WaitGroup
}

// peerLoad is what one peer uses of the server.
type peerLoad struct {
	connections int
	slots       chan struct{}
}

// NewServer listens on the peer address.
func NewServer(options ServerOptions) (*Server, error) {
	if options.TLS == nil && !options.Listen.Addr().IsLoopback() {
		return nil, &Error{Kind: BadKeys, Address: options.Listen.String(), Err: errors.New("without TLS only a loopback address may be used")}
	}
	if options.TLS != nil && options.TLS.Identity().Host != options.Self && options.Self != "" {
		return nil, &Error{Kind: WrongIdentity, Peer: options.Self, Err: fmt.Errorf("own certificate is for %s", options.TLS.Identity().URI())}
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
		options:    options,
		limits:     limits,
		listener:   listener,
		metrics:    newServerMetrics(options.Registerer),
		handshakes: make(chan struct{}, limits.Handshakes),
		factories:  make(map[string]func(host.ID) any),
		codecs:     make(map[*serverCodec]struct{}),
		pending:    make(map[net.Conn]struct{}),
		peers:      make(map[host.ID]*peerLoad),
	}, nil
}

// Register makes the methods of a receiver callable under the name. The factory
// makes one receiver per connection for the authenticated caller.
func (s *Server) Register(name string, factory func(from host.ID) any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factories[name] = factory
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends. Then it reads no further calls, lets those in
// progress finish within StopTimeout, and returns.
func (s *Server) Run(ctx context.Context) error {
	connections, cancel := context.WithCancel(context.WithoutCancel(ctx))
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
			_ = wait.For(ctx, acceptPause)
			continue
		}
		s.accept(connections, conn)
	}
	s.drain()
	s.join(cancel)
	return nil
}

// acceptPause is the time between attempts after accept has failed, for example
// for want of file descriptors.
const acceptPause = 100 * time.Millisecond

// accept starts serving the connection unless too many are being set up.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		s.refuse(conn, &Error{Kind: TooMany})
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		<-s.handshakes
		_ = conn.Close()
		return
	}
	s.pending[conn] = struct{}{}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		s.serve(ctx, conn)
	}()
}

// drain stops accepting and reading.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	_ = s.listener.Close()
	for conn := range s.pending {
		_ = conn.Close()
	}
	for codec := range s.codecs {
		codec.drain()
	}
}

// join waits for the connections and closes those that outlast StopTimeout.
func (s *Server) join(cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
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

// refuse counts and logs a refused connection.
func (s *Server) refuse(conn net.Conn, err error) {
	kind := kindOf(err)
	s.metrics.refused.WithLabelValues(string(kind)).Inc()
	s.options.Logger.Warn().Str("remote", conn.RemoteAddr().String()).Str("reason", string(kind)).Err(err).Msg("peer_refused")
}
