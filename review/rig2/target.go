package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a target's entry.
	heartbeat = time.Second
	// queueLimit is the number of requests that wait for a slot of a target. It rejects more.
	queueLimit = 8
)

// target is a stand-in of a target: it accepts flows, runs requests and registers in the store.
type target struct {
	rig     *rig
	name    string
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	slots   chan struct{}
	nslots  int
	born    time.Time
	// warmup is how long it is cold after its start.
	warmup time.Duration
	// maxFlows is the number of flows that it holds; 0 for no limit.
	maxFlows int
	conn     *net.UDPConn
	health   *http.Server
	stop     chan struct{}

	mu       sync.Mutex
	sequence int
	draining bool
	// queued is the number of requests that wait for a slot.
	queued int
	flows  map[netip.AddrPort]*targetFlow
	// opened are the arrivals of the opening packets of flows, with when they were sent.
	opened []opening
}

// opening is the first opening packet of a flow that a target took.
type opening struct {
	sent, arrived time.Time
	client        netip.AddrPort
	// copies is the number of earlier copies that its client sent.
	copies uint32
	// host is the address of the host that sent it on.
	host netip.Addr
}

// targetFlow is the target's side of a flow.
type targetFlow struct {
	client, route netip.AddrPort
	echo          uint32
	seq, ack      uint32
	unacked       int
	acked         uint32
	open, closed  bool
	input         []byte
	running       bool
}

func (r *rig) newTarget(name, service, zone string, address netip.AddrPort, slots int, warmup time.Duration) (*target, error) {
	id, err := strconv.ParseUint(name[2:], 16, 64)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	t := &target{
		rig: r, name: name, id: id, service: service, zone: zone, address: address, slots: make(chan struct{}, slots), nslots: slots,
		born: time.Now(), warmup: warmup, conn: conn, stop: make(chan struct{}), flows: map[netip.AddrPort]*targetFlow{},
	}
	t.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(t.check)}
	go func() { _ = t.health.Serve(listener) }() // returns after Close
	go t.receive()
	go t.register()
	r.logf("target %s of %s starts at %s in %s, cold for %s", name, service, address, zone, warmup)
	return t, nil
}

// check answers a health check, which takes a slot.
func (t *target) check(w http.ResponseWriter, r *http.Request) {
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	time.Sleep(time.Millisecond)
	<-t.slots
	t.rig.logf("target %s answers a health check", t.name)
	w.Header().Set("Instance-Id", t.name)
	t.mu.Lock()
	draining := t.draining
	t.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// entry returns the target's next entry.
func (t *target) entry() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	return map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "concurrency": t.nslots, "state": state,
		"warmup_left_ms": max(0, t.warmup-time.Since(t.born)).Milliseconds(), "sequence": t.sequence, "born": t.born.UnixMilli(),
	}
}

// register writes the entry until the target ends.
func (t *target) register() {
	for {
		_ = t.rig.store.put("servers/"+t.name, t.entry()) // an entry can always be encoded
		select {
		case <-t.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// drain reports that the target leaves.
func (t *target) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	_ = t.rig.store.put("servers/"+t.name, t.entry()) // an entry can always be encoded
	t.rig.logf("target %s: the store has accepted that it is draining", t.name)
}

// crash ends the target, which says nothing.
func (t *target) crash() {
	close(t.stop)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.rig.logf("target %s crashes", t.name)
}

// leave ends the target and removes its entry.
func (t *target) leave() {
	close(t.stop)
	time.Sleep(10 * time.Millisecond)
	t.rig.store.remove("servers/" + t.name)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.rig.logf("target %s has left", t.name)
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, source, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the socket is closed
		}
		now := time.Now()
		if n < idSize {
			continue
		}
		if id := binary.BigEndian.Uint64(buffer); id != 0 && id != t.id {
			continue // meant for another target
		}
		s, intact, ok := decode(buffer[idSize:n])
		if !ok || !intact {
			t.rig.logf("target %s gets a packet that its sender did not write so", t.name)
			continue
		}
		t.mu.Lock()
		t.take(now, source.Addr().Unmap(), &s)
		t.mu.Unlock()
	}
}

// take handles a packet with t.mu held.
func (t *target) take(now time.Time, host netip.Addr, s *segment) {
	f := t.flows[s.src]
	switch {
	case s.has(flagSYN):
		if f == nil || f.closed || f.ack != s.seq+1 && !f.open {
			if t.full() {
				return
			}
			f = &targetFlow{client: s.src, route: s.dst, echo: s.echo, seq: rand.Uint32(), ack: s.seq + 1}
			t.flows[s.src] = f
			t.opened = append(t.opened, opening{sent: t.rig.sentAt(s.src, s.ack), arrived: now, client: s.src, copies: s.ack, host: host})
		}
		if !f.open {
			f.echo = s.echo
			t.send(f, flagSYN|flagACK, f.seq, nil)
		}
	case f == nil || !f.open && s.ack != f.seq+1:
		if !s.has(flagRST) {
			t.rig.logf("target %s resets flow %s, which it does not hold", t.name, s.src)
			t.send(&targetFlow{client: s.src, route: s.dst, echo: s.echo}, flagRST, s.ack, nil)
		}
	case s.has(flagRST):
		f.closed = true
		delete(t.flows, s.src)
	case f.closed:
		if len(s.data) > 0 {
			t.send(f, flagRST, s.ack, nil)
		} else if s.has(flagFIN) {
			t.send(f, flagACK, f.seq, nil)
		}
	default:
		t.takeData(f, s)
	}
}

// full reports whether the target holds as many flows as it can.
func (t *target) full() bool {
	held := 0
	for _, f := range t.flows {
		if !f.closed {
			held++
		}
	}
	return t.maxFlows > 0 && held >= t.maxFlows
}

func (t *target) takeData(f *targetFlow, s *segment) {
	f.echo = s.echo
	if !f.open {
		f.open = true
		f.seq++
		f.acked = f.seq
	}
	if after(s.ack, f.acked) {
		f.acked = s.ack
	}
	if len(s.data) > 0 {
		if s.seq == f.ack {
			f.ack += uint32(len(s.data))
			f.input = append(f.input, s.data...)
			f.unacked++
		} else {
			f.unacked = 2 // a copy is acknowledged at once
		}
		if f.unacked >= 2 {
			f.unacked = 0
			t.send(f, flagACK, f.seq, nil)
		}
		t.startRequest(f)
	}
	if s.has(flagFIN) {
		f.closed = true
		t.send(f, flagACK, f.seq, nil)
		client := f.client
		time.AfterFunc(3*time.Second, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.flows[client] == f {
				delete(t.flows, client)
			}
		})
	}
}

// startRequest runs the request in the input of the flow if it is complete.
func (t *target) startRequest(f *targetFlow) {
	end := bytes.Index(f.input, []byte("\r\n\r\n"))
	if end < 0 || f.running {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(f.input[:end+4])))
	f.input = f.input[end+4:]
	if err != nil {
		t.rig.logf("target %s gets bytes that are no request: %v", t.name, err)
		return
	}
	f.running = true
	id := request.Header.Get("Request-Id")
	work, _ := strconv.Atoi(request.Header.Get("Work-Ms"))
	if t.queued >= queueLimit {
		t.rig.logf("target %s rejects %s", t.name, id)
		go t.respond(f, id, "503 Service Unavailable\r\nNot-Executed: 1", "rejected "+id)
		return
	}
	t.queued++
	go func() {
		t.slots <- struct{}{}
		defer func() { <-t.slots }()
		t.mu.Lock()
		t.queued--
		closed := f.closed
		t.mu.Unlock()
		if closed {
			t.rig.logf("target %s drops %s: its client has left", t.name, id)
			return
		}
		t.rig.recordRun(id, f.route, t)
		time.Sleep(time.Duration(work) * time.Millisecond)
		go t.respond(f, id, "200 OK", t.name+" ran "+id)
	}()
}

// respond sends the response, again until it is acknowledged. A draining target closes the flow
// with it.
func (t *target) respond(f *targetFlow, id, status, body string) {
	data := fmt.Appendf(nil, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
	t.mu.Lock()
	first := f.seq
	f.seq += uint32(len(data))
	flags := byte(flagACK)
	if t.draining {
		flags |= flagFIN
	}
	f.running = false
	t.mu.Unlock()
	interval := 200 * time.Millisecond
	for range 9 {
		t.mu.Lock()
		if f.closed || !after(first+uint32(len(data)), f.acked) {
			t.mu.Unlock()
			return
		}
		f.unacked = 0
		t.send(f, flags, first, data)
		t.mu.Unlock()
		time.Sleep(interval)
		interval = min(2*interval, 1600*time.Millisecond)
	}
}

// send sends a packet straight to the client.
func (t *target) send(f *targetFlow, flags byte, seq uint32, data []byte) {
	p := segment{src: f.route, dst: f.client, echo: f.echo, seq: seq, ack: f.ack, flags: flags, data: data}
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(nil), netip.AddrPortFrom(f.client.Addr(), t.rig.packetPort)) // the socket closes when the target ends
}
