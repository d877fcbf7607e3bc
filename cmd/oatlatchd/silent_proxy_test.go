package main

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
)

// silentProxy relays connections to the store until it falls silent: connections then stay open
// and carry nothing more.
type silentProxy struct {
	listener net.Listener
	target   string
	silent   atomic.Bool
}

// newSilentProxy starts a proxy that relays to the target.
func newSilentProxy(t *testing.T, target netip.AddrPort) *silentProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: listener, target: target.String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go p.relay(conn)
		}
	}()
	return p
}

func (p *silentProxy) address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *silentProxy) silence() { p.silent.Store(true) }

func (p *silentProxy) relay(conn net.Conn) {
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.carry(store, conn)
	p.carry(conn, store)
}

// carry copies bytes until either side is closed. It drops them while the proxy is silent.
func (p *silentProxy) carry(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
