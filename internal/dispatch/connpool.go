package dispatch

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream and idleConnTimeout bound the idle connections that have carried a
	// request.
	maxIdlePerUpstream = 16
	idleConnTimeout    = 15 * time.Second
	// unusedConnTimeout bounds the age of an unused connection. It is short, because an
	// upstream that closes the connection just when a non-idempotent request is sent on it
	// leaves the outcome unknown.
	unusedConnTimeout = time.Second
)

// connPool keeps idle connections for idempotent requests. For each upstream it also keeps
// one connection that has carried no request yet, for the next non-idempotent request.
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

// takeIdle removes and returns an idle connection that the upstream has not closed, or nil.
func (p *connPool) takeIdle(to netip.AddrPort) *upstreamConn {
	for {
		conn := p.popIdle(to)
		if conn == nil || conn.isUsable() {
			return conn
		}
		conn.Close()
	}
}

func (p *connPool) popIdle(to netip.AddrPort) *upstreamConn {
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

// takeUnused removes and returns a connection that has carried no request, or nil.
func (p *connPool) takeUnused(to netip.AddrPort) *upstreamConn {
	p.mu.Lock()
	conn := p.unused[to]
	delete(p.unused, to)
	p.mu.Unlock()
	if conn == nil {
		return nil
	}
	if p.now().Sub(conn.idleSince) > unusedConnTimeout || !conn.isUsable() {
		conn.Close()
		return nil
	}
	return conn
}

// hasUnused reports whether an unused connection to the upstream is kept. It may be too old
// or closed.
func (p *connPool) hasUnused(to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unused[to] != nil
}

// putUnused keeps a connection that has carried no request, or closes it if there is one
// already.
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

// putIdle keeps a connection that has carried a request, or closes it if there are
// maxIdlePerUpstream already.
func (p *connPool) putIdle(to netip.AddrPort, conn *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= maxIdlePerUpstream {
		conn.Close()
		return
	}
	conn.idleSince = p.now()
	p.idle[to] = append(p.idle[to], conn)
}

// sweep closes the connections that have been idle for too long.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, conn := range p.unused {
		if p.now().Sub(conn.idleSince) > unusedConnTimeout {
			conn.Close()
			delete(p.unused, to)
		}
	}
	for to, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if p.now().Sub(conn.idleSince) > idleConnTimeout {
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

// close closes all connections in the pool. Connections that are put back later are closed
// at once.
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
