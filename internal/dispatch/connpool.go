package dispatch

import (
	"net/netip"
	"sync"
	"time"
)

// Limits of idle connections to upstreams.
const (
	maxIdlePerUpstream  = 16
	idleUpstreamTimeout = 15 * time.Second
	// unusedTimeout is short, because an upstream that closes an unused connection
	// just when a confirmation is sent on it would leave the outcome unknown.
	unusedTimeout = time.Second
)

// connPool keeps idle connections for idempotent requests, and for each upstream
// one connection that has never been used, for the next non-idempotent one.
type connPool struct {
	now func() time.Time

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*upstreamConn
	unused map[netip.AddrPort]*upstreamConn
	closed bool
}

func newConnPool(now func() time.Time) *connPool {
	return &connPool{
		now:    now,
		idle:   make(map[netip.AddrPort][]*upstreamConn),
		unused: make(map[netip.AddrPort]*upstreamConn),
	}
}

// take returns an idle connection that the upstream has left open, or nil.
func (p *connPool) take(to netip.AddrPort) *upstreamConn {
	for {
		conn := p.pop(to)
		if conn == nil || conn.silent() {
			return conn
		}
		conn.Close()
	}
}

func (p *connPool) pop(to netip.AddrPort) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	conn := conns[last]
	conns[last] = nil
	p.idle[to] = conns[:last]
	return conn
}

// takeUnused returns a connection that has never carried a request, or nil.
func (p *connPool) takeUnused(to netip.AddrPort) *upstreamConn {
	p.mu.Lock()
	conn := p.unused[to]
	delete(p.unused, to)
	p.mu.Unlock()
	if conn == nil {
		return nil
	}
	if p.now().Sub(conn.idleSince) > unusedTimeout || !conn.silent() {
		conn.Close()
		return nil
	}
	return conn
}

// hasUnused says whether takeUnused would find a connection.
func (p *connPool) hasUnused(to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unused[to] != nil
}

// putUnused keeps a connection that has never carried a request.
func (p *connPool) putUnused(to netip.AddrPort, conn *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.unused[to] != nil {
		conn.Close()
		return
	}
	conn.idleSince = p.now()
	p.unused[to] = conn
}

// put keeps the connection unless there are enough.
func (p *connPool) put(to netip.AddrPort, conn *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= maxIdlePerUpstream {
		conn.Close()
		return
	}
	conn.idleSince = p.now()
	p.idle[to] = append(p.idle[to], conn)
}

// sweep closes the connections that were idle for too long.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, conn := range p.unused {
		if p.now().Sub(conn.idleSince) > unusedTimeout {
			conn.Close()
			delete(p.unused, to)
		}
	}
	for to, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if p.now().Sub(conn.idleSince) > idleUpstreamTimeout {
				conn.Close()
				continue
			}
			kept = append(kept, conn)
		}
		clear(conns[len(kept):])
		p.idle[to] = kept
		if len(kept) == 0 {
			delete(p.idle, to)
		}
	}
}

// close closes all idle connections and keeps none from now on.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
	for _, conn := range p.unused {
		conn.Close()
	}
	clear(p.idle)
	clear(p.unused)
}
