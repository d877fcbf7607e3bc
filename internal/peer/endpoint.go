package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Bounds of the delay between attempts to connect to one peer.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// endpoint manages the connection to one peer address. It connects when a call needs
// a connection, and backs off after a failed attempt.
type endpoint struct {
	client  *Client
	address netip.AddrPort
	// slots is a semaphore that limits the calls in flight. A call that timed out or was
	// cancelled holds its slot until the peer responds or the connection closes.
	slots chan struct{}

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *clientConn
	// dialDone is closed when the dial in progress ends; nil if there is none.
	dialDone chan struct{}
	// dialErr is the result of the last dial.
	dialErr error
	// failures is the number of consecutive failed dials.
	failures int
	// nextDial is the earliest time of the next dial after a failed one.
	nextDial time.Time
}

func newEndpoint(client *Client, address netip.AddrPort) *endpoint {
	return &endpoint{client: client, address: address, slots: make(chan struct{}, client.limits.InFlight)}
}

// call performs a call and connects first if there is no connection. It fails if the
// host at the address is not expectedHost, unless that is empty.
func (e *endpoint) call(ctx context.Context, expectedHost host.ID, method string, args, reply any) error {
	select {
	case e.slots <- struct{}{}:
	default:
		return e.addAddress(&Error{Kind: Busy})
	}
	e.client.metrics.inFlight.Inc()
	release := sync.OnceFunc(func() {
		<-e.slots
		e.client.metrics.inFlight.Dec()
	})
	conn, p, err := e.queueCall(ctx, expectedHost, method, args, reply, release)
	if err != nil {
		release()
		return e.addAddress(err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		conn.abandon(p)
		return e.addAddress(contextError(ctx))
	}
	if p.err != nil {
		return e.addAddress(p.err)
	}
	copyReply(reply, p.reply)
	return nil
}

// queueCall queues the call on the current connection, and tries again with a new one
// if that connection is closing.
func (e *endpoint) queueCall(ctx context.Context, expectedHost host.ID, method string, args, reply any, release func()) (*clientConn, *pendingCall, error) {
	for {
		conn, err := e.connection(ctx)
		if err != nil {
			return nil, nil, err
		}
		if expectedHost != "" && conn.remote != expectedHost {
			return nil, nil, &Error{Kind: WrongIdentity, Peer: expectedHost, Err: fmt.Errorf("the address belongs to host %s", conn.remote)}
		}
		p := newPendingCall(ctx, method, args, reply, release)
		if err := conn.enqueue(p); err == nil {
			return conn, p, nil
		}
		e.removeConn(conn)
	}
}

// addAddress returns a copy of the error with the endpoint's address. An error that is
// not an *Error is wrapped in one of kind Unreachable.
func (e *endpoint) addAddress(err error) error {
	var typed *Error
	if !errors.As(err, &typed) {
		return &Error{Kind: Unreachable, Address: e.address.String(), Err: err}
	}
	addressed := *typed
	addressed.Address = e.address.String()
	return &addressed
}

// connection returns the current connection. If there is none, it starts a dial or
// joins the one in progress and waits for it. During a backoff it returns the error
// of the last dial.
func (e *endpoint) connection(ctx context.Context) (*clientConn, error) {
	e.mu.Lock()
	if e.conn != nil {
		defer e.mu.Unlock()
		return e.conn, nil
	}
	if e.dialDone == nil {
		if e.client.now().Before(e.nextDial) {
			defer e.mu.Unlock()
			return nil, e.dialErr
		}
		if err := e.startDial(); err != nil {
			e.mu.Unlock()
			return nil, err
		}
	}
	dialDone := e.dialDone
	e.mu.Unlock()
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil, e.dialErr
	}
	return e.conn, nil
}

// startDial connects in the background and then serves the connection until it
// closes. The caller must hold the mutex.
func (e *endpoint) startDial() error {
	done := make(chan struct{})
	started := e.client.startGoroutine(func(ctx context.Context) {
		conn, err := e.dial(ctx)
		e.recordDial(conn, err)
		close(done)
		if conn != nil {
			conn.run(ctx)
			e.removeConn(conn)
			e.client.metrics.connections.Dec()
		}
	})
	if !started {
		return &Error{Kind: Closed}
	}
	e.dialDone = done
	return nil
}

// recordDial stores the result of a dial and computes the backoff if it failed.
func (e *endpoint) recordDial(conn *clientConn, err error) {
	e.client.metrics.dials.WithLabelValues(resultLabel(err)).Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialDone = nil
	e.conn, e.dialErr = conn, err
	if err == nil {
		e.failures = 0
		e.client.metrics.connections.Inc()
		return
	}
	e.failures++
	backoff := backoffDelay(e.failures)
	e.nextDial = e.client.now().Add(backoff)
	e.client.logger.Warn().Str("address", e.address.String()).Str("reason", string(errorKind(err))).
		Int("failures", e.failures).Dur("backoff", backoff).Err(err).Msg("peer_dial_failed")
}

// backoffDelay returns the delay before the next dial after the given number of
// consecutive failures. The delay doubles with each failure up to maxBackoff; its
// second half is randomized, so that hosts don't all reconnect at the same time.
func backoffDelay(failures int) time.Duration {
	delay := maxBackoff
	// Limiting the shift avoids an overflow; minBackoff<<shift exceeds maxBackoff well
	// below the limit.
	if shift := failures - 1; shift < 10 {
		delay = min(minBackoff<<shift, maxBackoff)
	}
	return delay/2 + rand.N(delay/2)
}

// dial connects and performs the handshake within HandshakeTimeout.
func (e *endpoint) dial(ctx context.Context) (*clientConn, error) {
	if e.client.tls == nil && !e.address.Addr().IsLoopback() {
		return nil, &Error{Kind: InvalidKeys, Err: errors.New("a client without TLS can only call loopback addresses")}
	}
	limits := e.client.limits
	ctx, cancel := context.WithTimeout(ctx, limits.HandshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", e.address.String())
	if err != nil {
		return nil, &Error{Kind: Unreachable, Err: err}
	}
	// A deadline in the past interrupts the handshake when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	transport := newCountingConn(raw, e.client.metrics.bytes, e.client.now)
	conn, remote, err := e.handshake(ctx, transport)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	stop()
	if err := raw.SetDeadline(time.Time{}); err != nil {
		_ = raw.Close()
		return nil, handshakeError(err)
	}
	return newClientConn(remote, conn, transport, limits, e.client.metrics.traffic, e.client.now), nil
}

// handshake performs the TLS handshake, if TLS is configured, and exchanges greetings.
// It returns the connection to use and the ID of the remote host.
func (e *endpoint) handshake(ctx context.Context, raw net.Conn) (net.Conn, host.ID, error) {
	if e.client.tls == nil {
		remote, err := sendGreeting(raw, e.client.self)
		return raw, remote, err
	}
	conn := tls.Client(raw, e.client.tls.config(x509.ExtKeyUsageServerAuth))
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, "", handshakeError(err)
	}
	identity, err := certificateIdentity(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, "", err
	}
	remote, err := sendGreeting(conn, e.client.self)
	if err != nil {
		return nil, "", err
	}
	if remote != identity.Host {
		return nil, "", &Error{Kind: WrongIdentity, Peer: remote, Err: fmt.Errorf("the host's certificate is for %s", identity.URI())}
	}
	return conn, remote, nil
}

// removeConn removes a closed connection, unless another one has replaced it.
func (e *endpoint) removeConn(conn *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
}

// unused reports whether the endpoint has no connection, no dial in progress and no calls.
func (e *endpoint) unused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn == nil && e.dialDone == nil && len(e.slots) == 0
}

// contextError converts the error of an ended context to an *Error.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Error{Kind: Timeout}
	}
	return &Error{Kind: Cancelled}
}
