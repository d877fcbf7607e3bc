package upstream

import (
	"errors"
	"net"
	"sync"
)

// errReset ends a connection that a fault has reset.
var errReset = errors.New("upstream: connection reset by a fault")

// faultyListener gives each new connection the faults of the moment.
type faultyListener struct {
	net.Listener
	faults func() Faults
}

// Accept wraps the next connection.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, faults: l.faults()}, nil
}

// faultyConn breaks off at the byte that its faults name.
type faultyConn struct {
	net.Conn
	faults Faults

	mu      sync.Mutex
	read    int
	written int
}

// Read passes on at most the bytes before the reset.
func (c *faultyConn) Read(p []byte) (int, error) {
	at := c.faults.ResetRequestAt
	if at == 0 {
		return c.Conn.Read(p)
	}
	c.mu.Lock()
	left := at - c.read
	c.mu.Unlock()
	if left <= 0 {
		c.reset()
		return 0, errReset
	}
	n, err := c.Conn.Read(p[:min(len(p), left)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	return n, err
}

// Write passes on at most the bytes before the reset or close.
func (c *faultyConn) Write(p []byte) (int, error) {
	at := max(c.faults.ResetAnswerAt, c.faults.CloseAnswerAt)
	if at == 0 {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written+len(p) < at {
		c.written += len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:max(0, at-c.written)])
	c.written = at
	if c.faults.ResetAnswerAt > 0 {
		c.reset()
	} else {
		c.Conn.Close()
	}
	return n, errReset
}

func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
}
