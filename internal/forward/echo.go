package forward

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

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// EchoOptions configure an Echo.
type EchoOptions struct {
	// Listen is the UDP address for packets; port 0 takes a free one.
	Listen netip.AddrPort
	// CallerPort is the UDP port at which callers take packets.
	CallerPort uint16
	Codec      Codec
	Engine     *echo.Engine
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Now returns the current time.
	Now func() time.Time
}

// Echo forwards packets whose flows are steered by the token that callers echo.
type Echo struct {
	options EchoOptions
	conn    *net.UDPConn
	metrics *echoMetrics
	// received counts packets from callers.
	received atomic.Uint64
}

// NewEcho binds the socket. The caller must call Run, which closes it.
func NewEcho(options EchoOptions) (*Echo, error) {
	conn, err := openSocket(options.Listen, options.Logger)
	if err != nil {
		return nil, err
	}
	f := &Echo{options: options, conn: conn}
	if f.metrics, err = newEchoMetrics(options.Registerer, options.Engine); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return f, nil
}

// Addr returns the bound address.
func (f *Echo) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Received returns the number of packets received so far.
func (f *Echo) Received() uint64 { return f.received.Load() }

// Run forwards packets until ctx ends.
func (f *Echo) Run(ctx context.Context) error {
	done := make(chan struct{})
	w := newEchoWorker(f)
	go func() {
		defer close(done)
		receive(f.conn, w.buffer[w.headroom:], f.options.Logger, w.handle)
	}()
	<-ctx.Done()
	err := f.conn.Close()
	<-done
	if err != nil {
		return fmt.Errorf("close packet socket: %w", err)
	}
	return nil
}

// echoWorker has the buffers of one forwarding goroutine.
type echoWorker struct {
	forwarder *Echo
	// buffer holds the headroom and a packet.
	buffer   []byte
	headroom int
	reset    []byte
	segment  echo.Segment
	// malformedAt is when a malformed packet was last logged.
	malformedAt time.Time
}

func newEchoWorker(f *Echo) *echoWorker {
	w := &echoWorker{
		forwarder: f, headroom: f.options.Codec.Headroom(),
		reset: make([]byte, 0, f.options.Codec.MaxSize()),
	}
	w.buffer = make([]byte, w.headroom+f.options.Codec.MaxSize()+1)
	return w
}

// handle forwards or answers one packet of a caller.
func (w *echoWorker) handle(datagram []byte, source netip.AddrPort) {
	f := w.forwarder
	f.received.Add(1)
	now := f.options.Now()
	if !f.options.Codec.Decode(datagram, &w.segment) {
		w.malformed(now, datagram, source)
		return
	}
	d := f.options.Engine.Decide(now, &w.segment)
	f.metrics.count(&d)
	w.log(&d)
	var err error
	switch d.Verdict {
	case echo.Forward:
		f.options.Codec.Address(w.buffer, d.Token, d.Upstream)
		_, err = f.conn.WriteToUDPAddrPort(w.buffer[:w.headroom+len(datagram)], d.Address)
	case echo.Reset:
		packet := f.options.Codec.Reset(w.reset, &w.segment)
		_, err = f.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(w.segment.Caller.Addr(), f.options.CallerPort))
	case echo.Drop:
	}
	if err != nil {
		f.metrics.drop(echo.SendFailed)
		f.options.Logger.Warn().Err(err).Str("upstream", d.Detail.Upstream).Msg("packet_send_failed")
	}
}

// malformed counts a packet that cannot be read, and logs one of many.
func (w *echoWorker) malformed(now time.Time, datagram []byte, source netip.AddrPort) {
	w.forwarder.metrics.drop(echo.Malformed)
	if now.Sub(w.malformedAt) < dropLogInterval {
		return
	}
	w.malformedAt = now
	w.forwarder.options.Logger.Warn().Stringer("source", source).Int("bytes", len(datagram)).Msg("packet_malformed")
}
