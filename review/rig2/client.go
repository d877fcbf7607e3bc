package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Errors of a client's tries.
var (
	errRefused  = errors.New("the flow did not open")
	errDeadline = errors.New("no answer within the deadline")
	errRejected = errors.New("rejected, not run")
)

// resetError means that an open flow was reset.
type resetError struct {
	// bySystem is set if an entry host sent the reset, not a target.
	bySystem bool
}

func (e *resetError) Error() string {
	return fmt.Sprintf("the open flow was reset, by a host: %t", e.bySystem)
}

// client is a stand-in of a client machine with one address and many flows.
type client struct {
	rig  *rig
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is the client's side of a flow.
type flow struct {
	client  *client
	local   netip.AddrPort
	route   netip.AddrPort
	packets chan received
	// target is the address of the target at which the flow opened.
	target netip.Addr

	echo, seq, ack uint32
	isReset        *resetError
	finished       bool
}

// received is a packet with whether an entry host sent it.
type received struct {
	segment
	source netip.Addr
	byHost bool
}

func (r *rig) newClient(zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, r.packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{rig: r, zone: zone, ip: ip, conn: conn, port: 1023, flows: map[uint16]*flow{}}
	r.closers = append(r.closers, conn.Close)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, source, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the socket is closed
		}
		s, intact, ok := decode(buffer[:n])
		byHost := c.rig.isHost(source.Addr())
		if !ok || !intact && (!byHost || s.flags != flagRST) {
			c.rig.logf("client %s gets a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[s.dst.Port()]
		c.mu.Unlock()
		if f != nil && s.src == f.route {
			select {
			case f.packets <- received{s, source.Addr().Unmap(), byHost}:
			default:
			}
		}
	}
}

// open opens a flow to the route's address.
func (c *client) open(route netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{client: c, local: netip.AddrPortFrom(c.ip, c.port), route: route, packets: make(chan received, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.ack = uint32(copies)
		c.rig.noteSent(f.local, f.ack, time.Now())
		f.send(flagSYN, f.seq, nil)
		for {
			p, ok := f.next(time.Until(start.Add(until)))
			if !ok {
				break
			}
			if p.has(flagRST) {
				f.forget()
				return nil, errRefused
			}
			if p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1 {
				f.seq++
				f.ack, f.echo, f.target = p.seq+1, p.echo, p.source
				f.send(flagACK, f.seq, nil)
				return f, nil
			}
		}
	}
	f.forget()
	return nil, errRefused
}

// request sends a request and awaits its response.
func (f *flow) request(id, method string, workMillis int, deadline time.Duration) error {
	data := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nWork-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, id, f.route, id, workMillis)
	first := f.seq
	f.seq += uint32(len(data))
	end := time.Now().Add(deadline)
	interval, acked := 200*time.Millisecond, false
	next := time.Now()
	var input []byte
	for {
		now := time.Now()
		if !now.Before(end) {
			f.close()
			return errDeadline
		}
		if !acked && !now.Before(next) {
			f.send(flagACK, first, data)
			next = now.Add(interval)
			interval = min(2*interval, 1600*time.Millisecond)
		}
		wait := end
		if !acked && next.Before(end) {
			wait = next
		}
		p, ok := f.next(time.Until(wait))
		if !ok {
			continue
		}
		acked = acked || !after(f.seq, p.ack)
		if done, err := f.take(&p, &input); err != nil {
			return err
		} else if !done {
			continue
		}
		head, body, ok := bytes.Cut(input, []byte("\r\n\r\n"))
		switch {
		case !ok || !bytes.Contains(head, []byte("Request-Id: "+id+"\r\n")):
		case bytes.Equal(body, []byte("rejected "+id)):
			return errRejected
		case bytes.HasSuffix(body, []byte(" ran "+id)):
			return nil
		}
	}
}

// take handles a packet of the open flow. It reports whether it had new data.
func (f *flow) take(p *received, input *[]byte) (data bool, err error) {
	if p.has(flagRST) {
		f.isReset = &resetError{bySystem: p.byHost}
		f.forget()
		return false, f.isReset
	}
	if p.has(flagSYN) {
		return false, nil
	}
	f.echo = p.echo
	if len(p.data) == 0 {
		return false, nil
	}
	if p.seq == f.ack {
		f.ack += uint32(len(p.data))
		*input = append(*input, p.data...)
		data = true
	}
	if p.has(flagFIN) {
		f.finished = true
	}
	f.send(flagACK, f.seq, nil)
	if f.finished {
		f.close()
	}
	return data, nil
}

// idle keeps the open flow without a request. It returns an error if it is reset.
func (f *flow) idle(pause time.Duration) error {
	for end := time.Now().Add(pause); ; {
		p, ok := f.next(time.Until(end))
		if !ok {
			return nil
		}
		var input []byte
		if _, err := f.take(&p, &input); err != nil {
			return err
		}
	}
}

// close closes the flow.
func (f *flow) close() {
	f.finished = true
	f.send(flagACK|flagFIN, f.seq, nil)
	f.forget()
}

func (f *flow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.local.Port())
}

func (f *flow) next(wait time.Duration) (received, bool) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
		return received{}, false
	}
}

// send sends a packet to the host that the router chooses.
func (f *flow) send(flags byte, seq uint32, data []byte) {
	s := segment{src: f.local, dst: f.route, echo: f.echo, seq: seq, ack: f.ack, flags: flags, data: data}
	if host, ok := f.client.rig.route(f.client.zone, f.local, f.route); ok {
		_, _ = f.client.conn.WriteToUDPAddrPort(s.encode(nil), host) // lost packets are sent again
	}
}
