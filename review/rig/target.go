package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// firstRetransmit and lastRetransmit bound the interval of retransmissions, which doubles.
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	// maxRetransmissions is the number of retransmissions after which a target gives up.
	maxRetransmissions = 8
)

// target stands in for a target: it registers itself, accepts flows and answers requests.
type target struct {
	rig  *rig
	id   uint64
	name string
	// label names this process of the target, as a target may start again under its ID.
	label   string
	service string
	zone    string
	address netip.AddrPort
	born    int64
	conn    *net.UDPConn
	health  *http.Server
	slots   chan struct{}

	mu       sync.Mutex
	flows    map[flowID]*targetFlow
	draining bool
	dead     bool
	sequence int
}

// targetFlow is a flow that the target holds.
type targetFlow struct {
	id   flowID
	echo uint32
	// iss is the sequence number of the SYN+ACK.
	iss uint32
	// open is set once the client's end of the handshake has arrived.
	open bool
	// next is the sequence number that the target expects, seq its own next one, and acked the
	// highest that the client has acknowledged.
	next, seq, acked uint32
	finished         bool
}

// startTarget starts a target with a new ID and registers it.
func startTarget(r *rig, service, zone string, address netip.AddrPort, concurrency int) (*target, error) {
	return startTargetAs(r, uint64(rand.Uint32())|1<<31, service, zone, address, concurrency)
}

// startTargetAs starts a target with the ID and registers it.
func startTargetAs(r *rig, id uint64, service, zone string, address netip.AddrPort, concurrency int) (*target, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &target{
		rig: r, id: id, name: fmt.Sprintf("i-%08x", id), service: service, zone: zone, address: address, born: time.Now().UnixMilli(),
		conn: conn, slots: make(chan struct{}, concurrency), flows: make(map[flowID]*targetFlow),
	}
	t.label = fmt.Sprintf("%s/%d", t.name, t.born)
	t.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		t.slots <- struct{}{}
		time.Sleep(time.Millisecond)
		<-t.slots
		w.Header().Set("Instance-Id", t.name)
		if t.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = t.health.Serve(listener) }()
	go t.receive()
	t.register()
	return t, nil
}

func (t *target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// register writes the target's entry. It does not write again while nothing but the sequence
// changes, because the entry would stay the same.
func (t *target) register() time.Time {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "concurrency": cap(t.slots),
		"state": state, "warmup_left_ms": 0, "sequence": t.sequence, "born": t.born,
	}
	t.mu.Unlock()
	return t.rig.store.put("servers/"+t.name, entry)
}

// crash ends the target without a word and starts it again under the same ID after the time. It
// then knows nothing of before.
func (t *target) crash(down time.Duration) (*target, error) {
	t.close()
	time.Sleep(down)
	return startTargetAs(t.rig, t.id, t.service, t.zone, t.address, cap(t.slots))
}

// close ends the target. It sends nothing, as in a crash.
func (t *target) close() {
	t.mu.Lock()
	t.dead = true
	t.mu.Unlock()
	t.rig.targetEnded(t)
	_ = t.conn.Close()
	_ = t.health.Close()
}

func (t *target) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < idSize {
			continue
		}
		if id := binary.BigEndian.Uint64(buffer); id != t.id && id != 0 {
			continue // for another target
		}
		p, genuine, ok := decode(append([]byte(nil), buffer[idSize:n]...))
		if !ok || !genuine {
			t.rig.violation("UNASKED", "target %s got a packet that its sender did not write so", t.name)
			continue
		}
		t.handle(&p)
	}
}

func (t *target) handle(p *packet) {
	id := flowID{client: p.src, route: p.dst}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead {
		return
	}
	t.rig.arrived(id, t.label, p.flags)
	f := t.flows[id]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil || f.next != p.seq+1 && !f.open {
			f = &targetFlow{id: id, iss: rand.Uint32(), next: p.seq + 1}
			t.flows[id] = f
		}
		if !f.open {
			f.echo = p.echo
			t.sendSYNACK(f)
		}
	case f == nil:
		if p.flags&flagRST == 0 {
			t.rig.targetReset(id, t.label)
			t.send(&packet{echo: p.echo, seq: p.ack, flags: flagRST, src: p.dst, dst: p.src})
		}
	case p.flags&flagRST != 0:
		f.finished = true
		delete(t.flows, id)
	case !f.open && p.ack != f.iss+1:
		// The client has acknowledged the SYN+ACK of another target: this one does not hold the flow.
		t.rig.targetReset(id, t.label)
		t.send(&packet{echo: p.echo, seq: p.ack, flags: flagRST, src: p.dst, dst: p.src})
	default:
		t.handleOpen(f, p)
	}
}

// sendSYNACK sends the SYN+ACK of a flow. t.mu must be held.
func (t *target) sendSYNACK(f *targetFlow) {
	t.send(&packet{echo: f.echo, seq: f.iss, ack: f.next, flags: flagSYN | flagACK, src: f.id.route, dst: f.id.client})
}

// handleOpen handles a packet of a flow that is open, or that it opens. t.mu must be held.
func (t *target) handleOpen(f *targetFlow, p *packet) {
	f.echo = p.echo
	if !f.open {
		f.open, f.seq, f.acked = true, f.iss+1, f.iss+1
		t.rig.opened(f.id, t)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			request := string(p.data)
			go t.run(f, request)
		}
		t.send(&packet{echo: f.echo, seq: f.seq, ack: f.next, flags: flagACK, src: f.id.route, dst: f.id.client})
	}
	if p.flags&flagFIN != 0 {
		f.finished = true
		delete(t.flows, f.id)
		t.rig.closed(f.id)
	}
}

// run runs a request and sends the response.
func (t *target) run(f *targetFlow, request string) {
	t.slots <- struct{}{}
	t.rig.ran(request, t)
	time.Sleep(t.rig.workTime())
	<-t.slots
	body := []byte("200 " + request + "\n")
	for len(body) < responseSize {
		body = append(body, '.')
	}
	t.mu.Lock()
	first := f.seq
	f.seq += uint32(len(body))
	last := f.seq
	t.mu.Unlock()
	interval := firstRetransmit
	for range 1 + maxRetransmissions {
		t.mu.Lock()
		if f.finished || t.dead || int32(f.acked-last) >= 0 {
			t.mu.Unlock()
			return
		}
		for offset := max(0, int(int32(f.acked-first))); offset < len(body); offset += maxData {
			flags := byte(flagACK)
			if t.draining && offset+maxData >= len(body) {
				flags |= flagFIN // a draining target closes each flow after its next response
			}
			t.send(&packet{echo: f.echo, seq: first + uint32(offset), ack: f.next, flags: flags, src: f.id.route, dst: f.id.client, data: body[offset:min(len(body), offset+maxData)]})
		}
		t.mu.Unlock()
		time.Sleep(interval)
		interval = min(2*interval, lastRetransmit)
	}
}

// send sends a packet to a client.
func (t *target) send(p *packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), t.rig.packetPort))
}
