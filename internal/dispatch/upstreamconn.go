package dispatch

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

var errHeaderTooLarge = errors.New("dispatch: the header of the upstream's response is larger than the limit")

// upstreamConn is a connection to an upstream that carries one request at a time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// wrote is set once a byte of the current request may have been written.
	wrote bool
	// headerBytesLeft bounds the bytes that are read while headerLimited is set.
	headerBytesLeft int
	headerLimited   bool
	idleSince       time.Time
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: conn}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// Write sets wrote before it writes, because a write that fails may still have sent some
// bytes.
func (c *upstreamConn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// Read fails once the header of the response has reached the limit.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if !c.headerLimited {
		return c.Conn.Read(p)
	}
	if c.headerBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headerBytesLeft -= n
	return n, err
}

// isUsable reports whether the upstream has neither closed the idle connection nor sent
// anything on it. It does not block.
func (c *upstreamConn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, probeErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(probeErr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// responseBody is a response body that calls onClose when it is closed, and tells it whether
// the body was read to its end.
type responseBody struct {
	io.ReadCloser
	reachedEOF bool
	onClose    func(reachedEOF bool)
}

// Read records whether the end of the body was reached.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reachedEOF = b.reachedEOF || err == io.EOF
	return n, err
}

// Close calls onClose. It must be called only once.
func (b *responseBody) Close() error {
	b.onClose(b.reachedEOF)
	return nil
}
