package upstream

import (
	"errors"
	"net"
	"sync"
)

// errInjected is returned by connections that an injected fault has ended.
var errInjected = errors.New("upstream: connection ended by an injected fault")

// faultyListener accepts connections that are subject to the faults set at the
// time they are accepted.
type faultyListener struct {
	net.Listener
	faults func() Faults
}

// Accept returns the next connection as a faultyConn.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, faults: l.faults()}, nil
}

// faultyConn resets or closes the connection at the byte offset that its faults set.
type faultyConn struct {
	net.Conn
	faults Faults

	mu           sync.Mutex
	bytesRead    int
	bytesWritten int
}

// Read reads up to the offset of the reset. The next call resets the connection.
func (c *faultyConn) Read(p []byte) (int, error) {
	limit := c.faults.ResetAfterRequestBytes
	if limit == 0 {
		return c.Conn.Read(p)
	}
	c.mu.Lock()
	remaining := limit - c.bytesRead
	c.mu.Unlock()
	if remaining <= 0 {
		c.reset()
		return 0, errInjected
	}
	n, err := c.Conn.Read(p[:min(len(p), remaining)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += n
	return n, err
}

// Write writes up to the offset of the reset or close and ends the connection there.
func (c *faultyConn) Write(p []byte) (int, error) {
	limit := max(c.faults.ResetAfterResponseBytes, c.faults.CloseAfterResponseBytes)
	if limit == 0 {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytesWritten+len(p) < limit {
		c.bytesWritten += len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:max(0, limit-c.bytesWritten)])
	c.bytesWritten = limit
	if c.faults.ResetAfterResponseBytes > 0 {
		c.reset()
	} else {
		c.Conn.Close()
	}
	return n, errInjected
}

// reset closes the connection with a TCP RST.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
}
