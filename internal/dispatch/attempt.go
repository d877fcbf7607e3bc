package dispatch

import (
	"errors"
	"net"
	"sync/atomic"
)

// errSpent refuses bytes of a request that were already sent elsewhere, or whose
// outcome has been decided.
var errSpent = errors.New("dispatch: the attempt's only connection is spent")

// attempt lets at most one connection carry the bytes of a request, and none
// once the attempt has ended.
type attempt struct {
	owner atomic.Pointer[trackedConn]
}

type attemptKey struct{}

// ended stands for the owner of an attempt that ended before any byte was written.
var ended = &trackedConn{}

// track returns the connection bound to the attempt.
func (a *attempt) track(conn net.Conn) net.Conn { return &trackedConn{Conn: conn, attempt: a} }

// end says whether any byte may have been written; none is written later if not.
func (a *attempt) end() (wrote bool) { return !a.owner.CompareAndSwap(nil, ended) }

// trackedConn is a connection that writes only while it owns its attempt.
type trackedConn struct {
	net.Conn
	attempt *attempt
}

// Write claims the attempt before the first byte leaves.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.attempt.owner.CompareAndSwap(nil, c) && c.attempt.owner.Load() != c {
		return 0, errSpent
	}
	return c.Conn.Write(p)
}
