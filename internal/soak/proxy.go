package soak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode is what a proxy does with connections and their data.
type proxyMode int

const (
	// modeForward relays all data.
	modeForward proxyMode = iota
	// modeDelay relays all data after proxyDelay.
	modeDelay
	// modeReset resets existing and new connections.
	modeReset
	// modeOneWay relays requests to the store and discards its responses.
	modeOneWay
	// modeDiscard discards all data and keeps connections open.
	modeDiscard
)

// proxyDelay is the delay of data in modeDelay.
const proxyDelay = 150 * time.Millisecond

// proxy relays the connections of a host to the store and can disrupt them.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
}

// newProxy starts a proxy that listens on a free loopback port and relays to target.
func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// address returns the address at which the proxy listens.
func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// setMode changes the mode of existing and new connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for conn := range p.conns {
			closeWithReset(conn)
		}
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed with a FIN
	}
	_ = conn.Close()
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

// accept accepts connections until the proxy is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		if p.currentMode() == modeReset {
			closeWithReset(conn)
			continue
		}
		go p.serve(conn)
	}
}

// serve relays one connection in both directions.
func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	target, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return // the store is closed
	}
	defer target.Close()
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	reset := p.mode == modeReset // since the connection was accepted
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	if reset {
		closeWithReset(conn)
		return
	}
	go func() {
		p.relay(target, conn, false)
		_ = target.Close() // ends the relay from the store, too
	}()
	p.relay(conn, target, true)
}

// relay copies data in one direction as the current mode requires, until either end
// is closed. fromStore is set if the data comes from the store.
func (p *proxy) relay(to io.Writer, from io.Reader, fromStore bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		current := p.currentMode()
		if current == modeDelay {
			time.Sleep(proxyDelay)
		}
		if current == modeDiscard || current == modeOneWay && fromStore {
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
