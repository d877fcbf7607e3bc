package forward

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/packet"
	"github.com/oatlatch/oatlatch/internal/service"
)

// worker handles packets of a Forwarder in one goroutine and holds its buffers.
type worker struct {
	forwarder *Forwarder
	parser    packet.Parser
	encoder   *packet.Encoder
	parsed    packet.Datagram
	// buffer has room for one byte more than the largest datagram, so that a larger one
	// is recognised.
	buffer []byte
}

// runWorker forwards packets until the socket is closed.
func (f *Forwarder) runWorker() {
	w := &worker{forwarder: f, encoder: packet.NewEncoder(), buffer: make([]byte, packet.MaxDatagramSize+1)}
	receivePackets(f.conn, w.buffer, f.options.Logger, w.handle)
}

// handle forwards one datagram, or drops it and counts the reason. It accepts relayed
// packets from members only.
func (w *worker) handle(datagram []byte, source netip.AddrPort) {
	f := w.forwarder
	if reason := w.parser.Parse(datagram, &w.parsed); reason != 0 {
		f.metrics.countDrop(reason)
		return
	}
	if w.parsed.Packet.Relay.Kind != flow.NotRelayed && !f.isMemberAddress(source) {
		f.metrics.countDrop(flow.UnknownSender)
		return
	}
	decision := f.engine.Decide(f.options.Now(), &w.parsed.Packet)
	if decision.Verdict == flow.Drop {
		f.metrics.countDrop(decision.Reason)
		return
	}
	w.send(&decision, decision.Service)
}

// isMemberAddress reports whether the source is the packet address of another
// member.
func (f *Forwarder) isMemberAddress(source netip.AddrPort) bool {
	_, ok := (*f.memberAddresses.Load())[netip.AddrPortFrom(source.Addr().Unmap(), source.Port())]
	return ok
}

// send encodes the packet with the service ID and relay header and sends it to
// the decision's target.
func (w *worker) send(d *flow.Decision, id service.ID) {
	f := w.forwarder
	out, err := w.encoder.Encode(id, &d.Relay, w.parsed.EtherType, w.parsed.Inner)
	if err == nil {
		_, err = f.conn.WriteToUDPAddrPort(out, d.Target)
	}
	if err != nil {
		f.metrics.countDrop(flow.SendFailed)
		return
	}
	f.metrics.countSent(d)
}
