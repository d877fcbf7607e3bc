package forward

import (
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

const (
	// maxHeldPackets and maxHeldBytes limit the packets that a host holds. At 500 packets
	// a second they cover a start of two seconds.
	maxHeldPackets = 1024
	maxHeldBytes   = 1 << 20
	// maxSYNHoldTime is how long a SYN is held after its last copy. Callers give up
	// 800 ms after the last copy that they send.
	maxSYNHoldTime = 800 * time.Millisecond
	// maxHoldTime is how long any other packet is held after its last copy. Callers
	// retransmit a packet at intervals of at most 1.6 s.
	maxHoldTime = 1600 * time.Millisecond
)

// packetID identifies a packet of a flow. Copies of a packet have the same ID.
type packetID struct {
	caller, address netip.AddrPort
	seq             uint32
	// ack is 0 for a SYN, whose copies differ in it.
	ack           uint32
	length        int
	syn, fin, rst bool
}

func packetIDOf(s *echo.Segment) packetID {
	id := packetID{caller: s.Caller, address: s.VirtualAddress, seq: s.Seq, ack: s.Ack, length: s.Length, syn: s.SYN, fin: s.FIN, rst: s.RST}
	if s.SYN {
		id.ack = 0
	}
	return id
}

// heldPacket is a packet that waits for a decision.
type heldPacket struct {
	id packetID
	// data is the latest copy, and segment its decoded header.
	data    []byte
	segment echo.Segment
	// firstAt and lastAt are when the first and the latest copy arrived.
	firstAt, lastAt time.Time
}

// expired reports whether the packet's sender has given up on it.
func (p *heldPacket) expired(now time.Time) bool {
	limit := maxHoldTime
	if p.id.syn {
		limit = maxSYNHoldTime
	}
	return now.Sub(p.lastAt) > limit
}

// packetHold keeps the packets that the engine holds, in order of arrival and each once. When it is full, the oldest packet gives way. It is not safe
// for concurrent use.
type packetHold struct {
	// packets are in the order in which their first copies arrived.
	packets []*heldPacket
	byID    map[packetID]*heldPacket
	// bytes is the total size of the packets.
	bytes int
	// copies and evicted count packets since the last call of take.
	copies, evicted int
}

func newPacketHold() *packetHold { return &packetHold{byID: make(map[packetID]*heldPacket)} }

// add holds a copy of the packet. A copy of a packet that is already held replaces that
// one's data.
func (h *packetHold) add(now time.Time, s *echo.Segment, data []byte) {
	id := packetIDOf(s)
	if held, ok := h.byID[id]; ok {
		h.copies++
		h.bytes += len(data) - len(held.data)
		held.data, held.segment, held.lastAt = append(held.data[:0], data...), *s, now
	} else {
		h.insert(&heldPacket{id: id, data: slices.Clone(data), segment: *s, firstAt: now, lastAt: now})
	}
	for len(h.packets) > maxHeldPackets || h.bytes > maxHeldBytes {
		h.evictOldest()
	}
}

// insert adds a packet that is not held yet after the others.
func (h *packetHold) insert(p *heldPacket) {
	h.packets = append(h.packets, p)
	h.byID[p.id] = p
	h.bytes += len(p.data)
}

func (h *packetHold) evictOldest() {
	oldest := h.packets[0]
	h.packets[0] = nil
	h.packets = h.packets[1:]
	delete(h.byID, oldest.id)
	h.bytes -= len(oldest.data)
	h.evicted++
}

// remove removes and returns the packet with the ID, or nil if it is not held.
func (h *packetHold) remove(id packetID) *heldPacket {
	p, ok := h.byID[id]
	if !ok {
		return nil
	}
	delete(h.byID, id)
	h.bytes -= len(p.data)
	h.packets = slices.DeleteFunc(h.packets, func(other *heldPacket) bool { return other == p })
	return p
}

// take removes and returns all packets, and the numbers of copies that were merged and
// of packets that gave way since the last call.
func (h *packetHold) take() (packets []*heldPacket, copies, evicted int) {
	packets, copies, evicted = h.packets, h.copies, h.evicted
	*h = *newPacketHold()
	return packets, copies, evicted
}
