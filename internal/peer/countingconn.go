package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// countingConn counts the bytes transferred on a connection and records the time of the
// last read.
type countingConn struct {
	net.Conn
	in, out  prometheus.Counter
	now      func() time.Time
	lastRead atomic.Int64
}

func newCountingConn(conn net.Conn, bytes *prometheus.CounterVec, now func() time.Time) *countingConn {
	return &countingConn{
		Conn: conn,
		in:   bytes.WithLabelValues("in"),
		out:  bytes.WithLabelValues("out"),
		now:  now,
	}
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.in.Add(float64(n))
		c.lastRead.Store(c.now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(float64(n))
	return n, err
}

// readSince reports whether anything was read at or after t.
func (c *countingConn) readSince(t time.Time) bool {
	return c.lastRead.Load() >= t.UnixNano()
}
