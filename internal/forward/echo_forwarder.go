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

// EchoForwarderOptions configures an EchoForwarder.
type EchoForwarderOptions struct {
	// Listen is the UDP address to bind; port 0 picks a free port.
	Listen netip.AddrPort
	// CallerPort is the UDP port on which callers receive packets.
	CallerPort uint16
	Codec      Codec
	Engine     *echo.Engine
	Logger     zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now returns the current time.
	Now func() time.Time
	// Started is when the process started.
	Started time.Time
}

// EchoForwarder forwards each packet to the upstream that the engine chooses. The
// engine finds the upstream of an open flow by the token that the caller echoes in
// each packet.
type EchoForwarder struct {
	options EchoForwarderOptions
	conn    *timedConn
	metrics *echoMetrics
	// received counts the packets from callers.
	received atomic.Uint64
	// forwarded is set once a packet has been forwarded.
	forwarded atomic.Bool
	held      heldPackets
	// admissionWake receives a value when a flow begins to wait for a slot.
	admissionWake chan struct{}
}

// NewEchoForwarder binds the socket. Run must be called afterwards; it closes the
// socket.
func NewEchoForwarder(options EchoForwarderOptions) (*EchoForwarder, error) {
	conn, err := openSocket(options.Listen, options.Logger)
	if err != nil {
		return nil, err
	}
	timed, err := newTimedConn(conn, options.Now)
	if err != nil {
		options.Logger.Info().Err(err).Msg("receipt_times_not_available")
	}
	f := &EchoForwarder{options: options, conn: timed, admissionWake: make(chan struct{}, 1)}
	if f.metrics, err = newEchoMetrics(options.Registerer, options.Engine, options.Now); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	f.held.hold, f.held.worker = newPacketHold(), newEchoWorker(f)
	return f, nil
}

// Addr returns the bound address.
func (f *EchoForwarder) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Received returns the number of packets received so far.
func (f *EchoForwarder) Received() uint64 { return f.received.Load() }

// Run forwards packets until ctx is cancelled, then closes the socket.
func (f *EchoForwarder) Run(ctx context.Context) error {
	done := make(chan struct{})
	w := newEchoWorker(f)
	go func() {
		defer close(done)
		receivePackets(f.conn, w.buffer[w.headroom:], f.options.Logger, w.handle)
	}()
	f.runAdmission(ctx)
	err := f.conn.Close()
	<-done
	if err != nil {
		return fmt.Errorf("close packet socket: %w", err)
	}
	return nil
}

// echoWorker handles the packets of an EchoForwarder in one goroutine and holds its
// buffers.
type echoWorker struct {
	forwarder *EchoForwarder
	// buffer holds the headroom followed by a packet. It has room for one byte more
	// than the largest packet, so that a longer packet is not truncated to a valid one.
	buffer []byte
	// headroom is the number of bytes before the packet.
	headroom int
	// resetBuffer is the buffer for reset packets.
	resetBuffer []byte
	segment     echo.Segment
	// malformedLoggedAt is the time at which a malformed packet was last logged.
	malformedLoggedAt time.Time
}

func newEchoWorker(f *EchoForwarder) *echoWorker {
	w := &echoWorker{
		forwarder: f, headroom: f.options.Codec.Headroom(),
		resetBuffer: make([]byte, 0, f.options.Codec.MaxSize()),
	}
	w.buffer = make([]byte, w.headroom+f.options.Codec.MaxSize()+1)
	return w
}

// handle decides on one packet from a caller and executes the decision, or holds the
// packet. The packet must be in the buffer after the headroom.
func (w *echoWorker) handle(datagram []byte, source netip.AddrPort) {
	f := w.forwarder
	f.received.Add(1)
	now := f.options.Now()
	if !f.options.Codec.Decode(datagram, &w.segment) {
		w.dropMalformed(now, datagram, source)
		return
	}
	w.segment.Delayed = f.conn.delayed
	views := f.held.views.Load()
	d := f.options.Engine.Decide(now, &w.segment)
	if d.Verdict == echo.Hold {
		f.metrics.countDecision(&d)
		f.holdPacket(now, views, &w.segment, datagram)
		if d.Reason == echo.Queued {
			f.wakeAdmission()
			if f.options.Engine.PendingRefusals() > 0 {
				f.admitWaiting()
			}
		}
		return
	}
	w.execute(&d, datagram)
	if f.options.Engine.WaitingFlows() > 0 {
		f.admitWaiting()
	}
	if f.options.Engine.PendingResets() > 0 {
		w.resetIdleFlows()
	}
}

// resetIdleFlows resets the idle flows that the engine has scheduled.
func (w *echoWorker) resetIdleFlows() {
	for {
		flow, d, ok := w.forwarder.options.Engine.NextReset()
		if !ok {
			return
		}
		w.segment = flow
		w.execute(&d, nil)
	}
}

// execute forwards the packet to the upstream, resets its flow or drops it, as decided.
func (w *echoWorker) execute(d *echo.Decision, datagram []byte) {
	f := w.forwarder
	f.metrics.countDecision(d)
	w.logDecision(d)
	var err error
	switch d.Verdict {
	case echo.Forward:
		f.options.Codec.SetUpstream(w.buffer, d.Token, d.Upstream)
		_, err = f.conn.WriteToUDPAddrPort(w.buffer[:w.headroom+len(datagram)], d.Address)
		if !f.forwarded.Load() && f.forwarded.CompareAndSwap(false, true) {
			f.options.Logger.Info().Dur("took_ms", f.options.Now().Sub(f.options.Started)).Msg("first_packet_forwarded")
		}
	case echo.Reset:
		packet := f.options.Codec.AppendReset(w.resetBuffer, &w.segment)
		_, err = f.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(w.segment.Caller.Addr(), f.options.CallerPort))
	case echo.Drop, echo.Hold:
	}
	if err != nil {
		f.metrics.countDrop(echo.SendFailed)
		f.options.Logger.Warn().Err(err).Str("upstream", d.Detail.Upstream).Msg("packet_send_failed")
	}
}

// dropMalformed counts a packet that cannot be decoded. It logs at most one such
// packet per malformedLogInterval.
func (w *echoWorker) dropMalformed(now time.Time, datagram []byte, source netip.AddrPort) {
	w.forwarder.metrics.countDrop(echo.Malformed)
	if now.Sub(w.malformedLoggedAt) < malformedLogInterval {
		return
	}
	w.malformedLoggedAt = now
	w.forwarder.options.Logger.Warn().Stringer("source", source).Int("bytes", len(datagram)).Msg("packet_malformed")
}
