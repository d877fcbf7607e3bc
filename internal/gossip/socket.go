package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// maxDatagramBytes is the maximum size of a datagram. It is more than a message of this
	// build takes, and less than a packet of any link.
	maxDatagramBytes = 1200
	// receiveRetryDelay is the delay after a failed read of the socket.
	receiveRetryDelay = 100 * time.Millisecond
)

// Options configures a Socket.
type Options struct {
	// Self is the name of this host.
	Self string
	// Listen is the address of the socket. Hosts send to the same address as their calls.
	Listen netip.AddrPort
	Keys   *Keys
	// Receive takes the message of another host and returns the answer to send, if any.
	Receive    func(from string, m feed.Message) (answer feed.Message, ok bool)
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
}

// Socket sends and receives messages.
type Socket struct {
	options Options
	conn    *net.UDPConn
	keys    atomic.Pointer[Keys]
	metrics *metrics
}

// NewSocket binds a socket. It receives nothing before Run.
func NewSocket(options Options) (*Socket, error) {
	m, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fmt.Errorf("listen for messages of other hosts: %w", err)
	}
	s := &Socket{options: options, conn: conn, metrics: m}
	s.keys.Store(options.Keys)
	return s, nil
}

// SetKeys replaces the keys.
func (s *Socket) SetKeys(k *Keys) { s.keys.Store(k) }

// Send sends a message to the host at the address. The message is lost if the network does not
// take it.
func (s *Socket) Send(to netip.AddrPort, m *feed.Message) {
	datagram := s.keys.Load().seal(s.options.Self, m)
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.metrics.messages.WithLabelValues("out", "failed").Inc()
		return
	}
	s.metrics.count("out", m.Kind, len(datagram))
}

// Run receives messages until ctx ends. It always returns nil.
func (s *Socket) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	defer s.conn.Close()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.options.Logger.Warn().Err(err).Msg("gossip_receive_failed")
			_ = wait.Sleep(ctx, receiveRetryDelay) // the next read notices the end
			continue
		}
		s.receive(buffer[:n], from)
	}
}

// receive handles a datagram and sends the answer.
func (s *Socket) receive(datagram []byte, from netip.AddrPort) {
	host, m, err := s.keys.Load().open(datagram)
	if err != nil {
		s.metrics.messages.WithLabelValues("in", "refused").Inc()
		s.options.Logger.Debug().Stringer("remote", from).Err(err).Msg("gossip_refused")
		return
	}
	s.metrics.count("in", m.Kind, len(datagram))
	if answer, ok := s.options.Receive(host, m); ok {
		s.Send(from, &answer)
	}
}
