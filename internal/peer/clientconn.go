package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// pendingCall is a call that has been handed to the connection's run goroutine and
// whose result its caller waits for.
type pendingCall struct {
	method   string
	outgoing *outgoingCall
	// reply is separate from the caller's reply, so that a response that arrives after
	// the caller has abandoned the call does not write to the caller's memory.
	reply any
	// err is the result; it may be read once done is closed.
	err  error
	done chan struct{}
	// release frees the call's slot. It is called when the call completes, even if the
	// caller has abandoned it.
	release func()
	// abandonedAt is when the caller abandoned the call; guarded by the connection's mutex.
	abandonedAt time.Time
}

func newPendingCall(ctx context.Context, method string, args, reply any, release func()) *pendingCall {
	deadline, _ := ctx.Deadline()
	p := &pendingCall{
		method:  method,
		reply:   reflect.New(reflect.TypeOf(reply).Elem()).Interface(),
		done:    make(chan struct{}),
		release: release,
	}
	p.outgoing = &outgoingCall{args: args, deadline: deadline, pending: p}
	return p
}

// finish frees the call's slot and passes the result to the caller.
func (p *pendingCall) finish(err error) {
	p.err = err
	p.release()
	close(p.done)
}

// errConnClosed is the cause in the error for a call that was not sent because its
// connection was closing.
var errConnClosed = errors.New("connection is closing")

// clientConn is a connection to a peer. Its run goroutine writes the calls and passes
// the responses to their callers.
type clientConn struct {
	remote    host.ID
	transport *countingConn
	codec     *clientCodec
	rpc       *rpc.Client
	limits    Limits
	now       func() time.Time
	// calls, cancels and completions each have a capacity of Limits.InFlight, the number
	// of the endpoint's slots.
	calls       chan *pendingCall
	cancels     chan *pendingCall
	completions chan *rpc.Call

	mu     sync.Mutex
	closed bool
	// lastUsed is when the last call was queued.
	lastUsed time.Time
	// outstanding holds the calls that have not completed, abandoned ones included.
	outstanding map[*pendingCall]struct{}
}

func newClientConn(remote host.ID, conn net.Conn, transport *countingConn, limits Limits, traffic *trafficMetrics, now func() time.Time) *clientConn {
	codec := newClientCodec(conn, limits, traffic)
	return &clientConn{
		remote:      remote,
		transport:   transport,
		codec:       codec,
		rpc:         rpc.NewClientWithCodec(codec),
		limits:      limits,
		now:         now,
		calls:       make(chan *pendingCall, limits.InFlight),
		cancels:     make(chan *pendingCall, limits.InFlight),
		completions: make(chan *rpc.Call, limits.InFlight),
		lastUsed:    now(),
		outstanding: make(map[*pendingCall]struct{}),
	}
}

// enqueue queues a call. It fails if the connection is closing.
func (c *clientConn) enqueue(p *pendingCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errConnClosed
	}
	c.lastUsed = c.now()
	c.outstanding[p] = struct{}{}
	c.calls <- p
	return nil
}

// abandon records that the caller of p no longer waits for the result, and queues a
// cancellation of the call. It never blocks: if the queue is full, because the connection
// accepts no bytes, the call is not cancelled at the server.
func (c *clientConn) abandon(p *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.outstanding[p]; !ok || c.closed {
		return
	}
	p.abandonedAt = c.now()
	select {
	case c.cancels <- p:
	default:
	}
}

// checksPerStallTimeout is the number of checks for idleness and stalls within each
// Limits.StallTimeout.
const checksPerStallTimeout = 2

// run writes calls and processes responses until the connection fails, stalls or
// becomes idle, or until ctx ends. Then it closes the connection and fails the
// calls without a response.
func (c *clientConn) run(ctx context.Context) {
	ticker := time.NewTicker(c.limits.StallTimeout / checksPerStallTimeout)
	defer ticker.Stop()
	// inFlight is the number of calls that net/rpc has yet to complete.
	inFlight := 0
	for {
		select {
		case p := <-c.calls:
			inFlight++
			c.rpc.Go(p.method, p.outgoing, p.reply, c.completions)
			continue
		case call := <-c.completions:
			inFlight--
			c.complete(call)
			continue
		case p := <-c.cancels:
			c.codec.cancel(p.outgoing)
			continue
		case <-ticker.C:
			if !c.closeIfIdle() && !c.stalled() {
				continue
			}
		case <-c.codec.firstErr:
		case <-ctx.Done():
		}
		break
	}
	c.shutDown(inFlight)
}

// complete passes the result of a call to its caller.
func (c *clientConn) complete(call *rpc.Call) {
	p := call.Args.(*outgoingCall).pending
	c.mu.Lock()
	delete(c.outstanding, p)
	c.mu.Unlock()
	p.finish(convertRPCError(call.Error))
}

// closeIfIdle makes the connection refuse further calls and returns true if no call is
// outstanding and none was queued during the last three quarters of IdleTimeout. The
// server closes an idle connection after IdleTimeout; the margin avoids sending a call
// on a connection that the server is about to close.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outstanding) > 0 || c.now().Sub(c.lastUsed) < c.limits.IdleTimeout*3/4 {
		return false
	}
	c.closed = true
	return true
}

// stalled reports whether a call was abandoned at least StallTimeout ago and nothing
// has been read from the connection since.
func (c *clientConn) stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.outstanding {
		if p.abandonedAt.IsZero() || c.now().Sub(p.abandonedAt) < c.limits.StallTimeout {
			continue
		}
		if !c.transport.readSince(p.abandonedAt) {
			return true
		}
	}
	return false
}

// shutDown closes the connection, waits until net/rpc has completed the calls in
// flight, and fails the calls that are still queued.
func (c *clientConn) shutDown(inFlight int) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.rpc.Close()
	for ; inFlight > 0; inFlight-- {
		c.complete(<-c.completions)
	}
	for {
		select {
		case p := <-c.calls:
			p.finish(&Error{Kind: Unreachable, Peer: c.remote, Err: errConnClosed})
		default:
			return
		}
	}
}
