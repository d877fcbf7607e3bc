package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// heldPackets holds the packets of an EchoForwarder that await a view, or a slot for their
// flow.
type heldPackets struct {
	// views counts the calls of ReleaseHeld.
	views atomic.Uint64

	// mu guards the fields below.
	mu   sync.Mutex
	hold *packetHold
	// worker decides on held packets.
	worker *echoWorker
}

// ReleaseHeld decides on the held packets in the order of their arrival. It must be
// called after each change of the engine's view.
func (f *EchoForwarder) ReleaseHeld() {
	f.held.views.Add(1)
	f.releaseHeld()
}

// holdPacket keeps a packet until the next view. views is the number of views before
// the engine decided to hold the packet: if there has been another one since, the packet
// is decided on at once.
func (f *EchoForwarder) holdPacket(now time.Time, views uint64, s *echo.Segment, datagram []byte) {
	f.held.mu.Lock()
	f.held.hold.add(now, s, datagram)
	f.held.mu.Unlock()
	if f.held.views.Load() != views {
		f.releaseHeld()
	}
}

// releaseHeld decides on the held packets. Those that the engine still cannot decide on
// stay held.
func (f *EchoForwarder) releaseHeld() {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	now := f.options.Now()
	packets, copies, evicted := f.held.hold.take()
	released, expired := 0, 0
	var oldest time.Duration
	for _, p := range packets {
		switch {
		case p.expired(now):
			f.metrics.countDrop(echo.HoldExpired)
			expired++
		case f.held.worker.decideHeld(now, p):
			released++
			oldest = max(oldest, now.Sub(p.firstAt))
		default:
			f.held.hold.insert(p)
		}
	}
	if released+expired+evicted == 0 {
		return
	}
	for range evicted {
		f.metrics.countDrop(echo.HoldFull)
	}
	f.options.Logger.Info().Int("released", released).Int("held", len(f.held.hold.packets)).Int("copies", copies).
		Int("expired", expired).Int("evicted", evicted).Dur("age_ms", oldest).Msg("packets_released")
}

// decideHeld decides on a held packet. It returns false if the packet must stay held.
func (w *echoWorker) decideHeld(now time.Time, p *heldPacket) bool {
	if !w.forwarder.options.Codec.Decode(p.data, &w.segment) {
		return true // unreachable: only packets that were decoded are held
	}
	d := w.forwarder.options.Engine.Decide(now, &w.segment)
	if d.Verdict == echo.Hold {
		return false
	}
	w.executeHeld(&d, p)
	return true
}

// executeHeld executes the decision on a held packet.
func (w *echoWorker) executeHeld(d *echo.Decision, p *heldPacket) {
	datagram := w.buffer[w.headroom : w.headroom+copy(w.buffer[w.headroom:], p.data)]
	w.segment = p.segment
	w.execute(d, datagram)
}
