package dispatch

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// errHeaderTooLarge refuses an answer whose header exceeds the limit.
var errHeaderTooLarge = errors.New("dispatch: the answer's header is larger than the limit")

// upstreamConn is a connection to an upstream that carries one exchange at a time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// wrote says whether a byte of the current exchange may have been written.
	wrote bool
	// headerLeft bounds the bytes read while limited is set.
	headerLeft int
	limited    bool
	idleSince  time.Time
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: conn}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// Write notes the write before it happens, so that an error cannot hide it.
func (c *upstreamConn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// Read refuses to read more header than the limit.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.headerLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headerLeft -= n
	return n, err
}

// silent says whether the peer has neither closed the idle connection nor sent
// anything on it. It does not block.
func (c *upstreamConn) silent() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, probeErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(probeErr, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// answerBody ends an exchange when it is closed: a connection whose answer was
// read to its end goes back to the pool, and any other one is closed.
type answerBody struct {
	io.ReadCloser
	ended bool
	end   func(reusable bool)
}

// Read notes the end of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close ends the exchange; it may be called once.
func (b *answerBody) Close() error {
	b.end(b.ended)
	return nil
}
