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

// pendingCall is a call between its caller and the connection's goroutine.
type pendingCall struct {
	method string
	out    *outgoing
	// reply is private to the call, so that an answer that comes after the caller
	// gave up touches nothing of the caller's.
	reply any
	err   error
	done  chan struct{}
	// release frees the call's slot once it is answered.
	release func()
	// abandonedAt is when the caller gave up; guarded by the connection's mutex.
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
	p.out = &outgoing{args: args, deadline: deadline, pending: p}
	return p
}

// finish hands the result to the caller.
func (p *pendingCall) finish(err error) {
	p.err = err
	p.release()
	close(p.done)
}

// errConnClosed means that a call was not sent because its connection was closing.
var errConnClosed = errors.New("connection is closing")

// clientConn is one connection to a peer. Its run goroutine writes calls and hands
// out answers.
type clientConn struct {
	remote host.ID
	conn   *countingConn
	codec  *clientCodec
	rpc    *rpc.Client
	limits Limits
	now    func() time.Time
	// calls and cancels have room for all calls that the link's slots allow.
	calls       chan *pendingCall
	cancels     chan *pendingCall
	completions chan *rpc.Call

	mu          sync.Mutex
	closed      bool
	lastUse     time.Time
	outstanding map[*pendingCall]struct{}
}

func newClientConn(remote host.ID, conn net.Conn, counting *countingConn, limits Limits, now func() time.Time) *clientConn {
	codec := newClientCodec(conn, limits)
	return &clientConn{
		remote:      remote,
		conn:        counting,
		codec:       codec,
		rpc:         rpc.NewClientWithCodec(codec),
		limits:      limits,
		now:         now,
		calls:       make(chan *pendingCall, limits.InFlight),
		cancels:     make(chan *pendingCall, limits.InFlight),
		completions: make(chan *rpc.Call, limits.InFlight),
		lastUse:     now(),
		outstanding: make(map[*pendingCall]struct{}),
	}
}

// send queues a call; it fails when the connection is closing.
func (c *clientConn) send(p *pendingCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errConnClosed
	}
	c.lastUse = c.now()
	c.outstanding[p] = struct{}{}
	c.calls <- p
	return nil
}

// abandon notes that the caller of p gave up.
func (c *clientConn) abandon(p *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.outstanding[p]; !ok || c.closed {
		return
	}
	p.abandonedAt = c.now()
	c.cancels <- p
}

// checksPerStallTimeout is how often the connection is checked for idleness and stalls.
const checksPerStallTimeout = 2

// run serves the connection until it breaks, stalls, idles or ctx ends, and then
// fails the calls that have no answer.
func (c *clientConn) run(ctx context.Context) {
	ticker := time.NewTicker(c.limits.StallTimeout / checksPerStallTimeout)
	defer ticker.Stop()
	sent := 0
	for {
		select {
		case p := <-c.calls:
			sent++
			c.rpc.Go(p.method, p.out, p.reply, c.completions)
			continue
		case call := <-c.completions:
			sent--
			c.complete(call)
			continue
		case p := <-c.cancels:
			c.codec.cancel(p.out)
			continue
		case <-ticker.C:
			if !c.idle() && !c.stalled() {
				continue
			}
		case <-c.codec.failed:
		case <-ctx.Done():
		}
		break
	}
	c.shutDown(sent)
}

// complete hands an answer to its caller.
func (c *clientConn) complete(call *rpc.Call) {
	p := call.Args.(*outgoing).pending
	c.mu.Lock()
	delete(c.outstanding, p)
	c.mu.Unlock()
	p.finish(callError(call.Error))
}

// idle reports whether the connection has had no call for most of the time after
// which the server closes it, and refuses further calls if so.
func (c *clientConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outstanding) > 0 || c.now().Sub(c.lastUse) < c.limits.IdleTimeout*3/4 {
		return false
	}
	c.closed = true
	return true
}

// stalled reports whether a call has been abandoned for StallTimeout and nothing
// has arrived since.
func (c *clientConn) stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.outstanding {
		if p.abandonedAt.IsZero() || c.now().Sub(p.abandonedAt) < c.limits.StallTimeout {
			continue
		}
		if !c.conn.readSince(p.abandonedAt) {
			return true
		}
	}
	return false
}

// shutDown closes the connection and fails the calls on it; sent is the number of
// calls that net/rpc has yet to complete.
func (c *clientConn) shutDown(sent int) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.rpc.Close()
	for ; sent > 0; sent-- {
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
