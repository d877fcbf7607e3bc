package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// resetWindow is the largest distance of a reset's sequence number from the client's last ack.
const resetWindow = 76800

// client stands in for the clients of one address. It holds any number of flows.
type client struct {
	rig  *rig
	zone int
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*clientFlow
}

// clientFlow is a flow of a client.
type clientFlow struct {
	id      flowID
	packets chan packet
	echo    uint32
	// seq is the next sequence number of the client, ack the next one that it expects.
	seq, ack uint32
	// peer is the sequence number of the SYN+ACK that was acknowledged.
	peer uint32
	// closing is set once the target has closed the flow.
	closing bool
}

// outcome is how a request ended.
type outcome string

const (
	answered  outcome = "answered"
	notOpened outcome = "not opened"
	reset     outcome = "reset"
	noAnswer  outcome = "no answer"
	wrong     outcome = "wrong answer"
)

func newClient(r *rig, zone int, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, r.packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &client{rig: r, zone: zone, addr: addr, conn: conn, port: uint16(20000 + rand.IntN(20000)), flows: make(map[flowID]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		if !genuine && (p.flags&flagRST == 0 || p.sum != 0 || len(p.data) > 0) {
			c.rig.violation("MIXED", "client %s got a packet that its sender did not write so", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[flowID{client: p.dst, route: p.src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- p:
		default: // as when a buffer is full
		}
	}
}

// send sends a packet to the host that the routers select.
func (c *client) send(p *packet) {
	if to := c.rig.selectHost(c.zone, p.src, p.dst); to.IsValid() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// open opens a flow to the route.
func (c *client) open(ctx context.Context, route netip.AddrPort) (*clientFlow, outcome) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{id: flowID{client: netip.AddrPortFrom(c.addr, c.port), route: route}, packets: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.id] = f
	c.mu.Unlock()
	started := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		c.send(&packet{seq: f.seq, ack: uint32(copies), flags: flagSYN, src: f.id.client, dst: f.id.route})
		for {
			p, ok := f.next(ctx, time.Until(started.Add(until)))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				c.forget(f)
				return nil, notOpened
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.seq+1 {
				f.echo, f.peer, f.ack, f.seq = p.echo, p.seq, p.seq+1, f.seq+1
				c.sendACK(f)
				return f, answered
			}
		}
	}
	c.forget(f)
	return nil, notOpened
}

func (c *client) sendACK(f *clientFlow) {
	c.send(&packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK, src: f.id.client, dst: f.id.route})
}

// finish closes the flow.
func (c *client) finish(f *clientFlow) {
	c.send(&packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK | flagFIN, src: f.id.client, dst: f.id.route})
	c.forget(f)
}

func (c *client) forget(f *clientFlow) {
	c.mu.Lock()
	delete(c.flows, f.id)
	c.mu.Unlock()
}

// next waits for the flow's next packet.
func (f *clientFlow) next(ctx context.Context, wait time.Duration) (packet, bool) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return packet{}, false
}

// isReset reports whether the packet resets the open flow.
func (f *clientFlow) isReset(p *packet) bool {
	if p.flags&flagRST == 0 {
		return false
	}
	distance := int32(p.seq - f.ack)
	return distance >= -resetWindow && distance <= resetWindow
}

// idle waits with the flow open, as between two requests. It returns false if the flow is reset.
func (c *client) idle(ctx context.Context, f *clientFlow, d time.Duration) bool {
	for end := time.Now().Add(d); ; {
		p, ok := f.next(ctx, time.Until(end))
		if !ok {
			return true
		}
		if f.isReset(&p) {
			c.rig.clientReset(f.id, &p)
			c.forget(f)
			return false
		}
		c.take(f, &p)
	}
}

// take notes what every packet of a flow tells: the last echo. Data that was taken before is
// acknowledged again.
func (c *client) take(f *clientFlow, p *packet) {
	if p.flags&flagRST != 0 {
		return
	}
	f.echo = p.echo
	if len(p.data) > 0 && int32(p.seq-f.ack) < 0 {
		c.sendACK(f)
	}
}

// request sends a request on the open flow and waits for the whole answer.
func (c *client) request(ctx context.Context, f *clientFlow, text string, deadline time.Duration) outcome {
	c.rig.note("%s: sent on flow %s", text, f.id.client)
	end := time.Now().Add(deadline)
	first := f.seq
	f.seq += uint32(len(text))
	var body []byte
	interval, resend := firstRetransmit, time.Now()
	acknowledged := false
	for len(body) < responseSize {
		if !acknowledged && !time.Now().Before(resend) {
			c.send(&packet{echo: f.echo, seq: first, ack: f.ack, flags: flagACK, src: f.id.client, dst: f.id.route, data: []byte(text)})
			resend = time.Now().Add(interval)
			interval = min(2*interval, lastRetransmit)
		}
		wait := time.Until(end)
		if !acknowledged {
			wait = min(wait, time.Until(resend))
		}
		p, ok := f.next(ctx, wait)
		if !ok {
			if !time.Now().Before(end) || ctx.Err() != nil {
				c.finish(f)
				return noAnswer
			}
			continue
		}
		if f.isReset(&p) {
			c.rig.clientReset(f.id, &p)
			c.forget(f)
			return reset
		}
		c.take(f, &p)
		if p.flags&flagSYN != 0 || p.flags&flagRST != 0 {
			continue
		}
		acknowledged = acknowledged || p.ack == f.seq
		if len(p.data) > 0 && p.seq == f.ack {
			body = append(body, p.data...)
			f.ack += uint32(len(p.data))
			f.closing = f.closing || p.flags&flagFIN != 0
			c.sendACK(f)
		}
	}
	if !strings.HasPrefix(string(body), "200 "+text+"\n") {
		c.rig.violation("MIXED", "flow %s got the answer to another request", f.id.client)
		return wrong
	}
	return answered
}
