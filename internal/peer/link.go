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

// Backoff between attempts to connect to one peer.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// link holds the connection to one peer address.
type link struct {
	client  *Client
	address netip.AddrPort
	// slots is the cap of calls in flight; timed-out calls hold theirs until the
	// peer answers or the connection closes.
	slots chan struct{}

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *clientConn
	// dialled is closed when the dial in progress ends; nil when there is none.
	dialled  chan struct{}
	dialErr  error
	failures int
	nextDial time.Time
}

func newLink(client *Client, address netip.AddrPort) *link {
	return &link{client: client, address: address, slots: make(chan struct{}, client.limits.InFlight)}
}

// call performs one call on the link's connection, which it makes if needed.
func (l *link) call(ctx context.Context, expect host.ID, method string, args, reply any) error {
	select {
	case l.slots <- struct{}{}:
	default:
		return l.fail(&Error{Kind: Busy})
	}
	l.client.metrics.inFlight.Inc()
	release := sync.OnceFunc(func() {
		<-l.slots
		l.client.metrics.inFlight.Dec()
	})
	conn, p, err := l.start(ctx, expect, method, args, reply, release)
	if err != nil {
		release()
		return l.fail(err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		conn.abandon(p)
		return l.fail(contextError(ctx))
	}
	if p.err != nil {
		return l.fail(p.err)
	}
	copyReply(reply, p.reply)
	return nil
}

// start queues the call, once more if the connection closed in between.
func (l *link) start(ctx context.Context, expect host.ID, method string, args, reply any, release func()) (*clientConn, *pendingCall, error) {
	for {
		conn, err := l.connection(ctx)
		if err != nil {
			return nil, nil, err
		}
		if expect != "" && conn.remote != expect {
			return nil, nil, &Error{Kind: WrongIdentity, Peer: expect, Err: fmt.Errorf("the address belongs to %s", conn.remote)}
		}
		p := newPendingCall(ctx, method, args, reply, release)
		if err := conn.send(p); err == nil {
			return conn, p, nil
		}
		l.drop(conn)
	}
}

// fail adds the address to an error.
func (l *link) fail(err error) error {
	var typed *Error
	if !errors.As(err, &typed) {
		return &Error{Kind: Unreachable, Address: l.address.String(), Err: err}
	}
	withAddress := *typed
	withAddress.Address = l.address.String()
	return &withAddress
}

// connection returns the open connection or waits for the dial in progress.
func (l *link) connection(ctx context.Context) (*clientConn, error) {
	l.mu.Lock()
	if l.conn != nil {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if l.dialled == nil {
		if l.client.now().Before(l.nextDial) {
			defer l.mu.Unlock()
			return nil, l.dialErr
		}
		if err := l.startDial(); err != nil {
			l.mu.Unlock()
			return nil, err
		}
	}
	dialled := l.dialled
	l.mu.Unlock()
	select {
	case <-dialled:
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, l.dialErr
	}
	return l.conn, nil
}

// startDial begins to connect in the background; the mutex is held.
func (l *link) startDial() error {
	done := make(chan struct{})
	started := l.client.spawn(func(ctx context.Context) {
		conn, err := l.dial(ctx)
		l.dialEnded(conn, err)
		close(done)
		if conn != nil {
			conn.run(ctx)
			l.drop(conn)
			l.client.metrics.connections.Dec()
		}
	})
	if !started {
		return &Error{Kind: Closed}
	}
	l.dialled = done
	return nil
}

// dialEnded records the outcome of a dial.
func (l *link) dialEnded(conn *clientConn, err error) {
	l.client.metrics.dials.WithLabelValues(resultOf(err)).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialled = nil
	l.conn, l.dialErr = conn, err
	if err == nil {
		l.failures = 0
		l.client.metrics.connections.Inc()
		return
	}
	l.failures++
	backoff := backoffAfter(l.failures)
	l.nextDial = l.client.now().Add(backoff)
	l.client.logger.Warn().Str("address", l.address.String()).Str("reason", string(kindOf(err))).
		Int("failures", l.failures).Dur("backoff", backoff).Err(err).Msg("peer_dial_failed")
}

// backoffAfter returns the capped exponential pause after a number of failures,
// with jitter of half of it.
func backoffAfter(failures int) time.Duration {
	pause := maxBackoff
	if shift := failures - 1; shift < 10 {
		pause = min(minBackoff<<shift, maxBackoff)
	}
	return pause/2 + rand.N(pause/2)
}

// dial connects, secures the connection and exchanges greetings.
func (l *link) dial(ctx context.Context) (*clientConn, error) {
	if l.client.tls == nil && !l.address.Addr().IsLoopback() {
		return nil, &Error{Kind: BadKeys, Err: errors.New("without TLS only a loopback address may be called")}
	}
	limits := l.client.limits
	ctx, cancel := context.WithTimeout(ctx, limits.HandshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, &Error{Kind: Unreachable, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	counting := newCountingConn(raw, l.client.metrics.bytes, l.client.now)
	conn, remote, err := l.secure(ctx, counting)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	stop()
	if err := raw.SetDeadline(time.Time{}); err != nil {
		_ = raw.Close()
		return nil, greetingError(err)
	}
	return newClientConn(remote, conn, counting, limits, l.client.now), nil
}

// secure performs the TLS handshake and the greeting.
func (l *link) secure(ctx context.Context, raw net.Conn) (net.Conn, host.ID, error) {
	if l.client.tls == nil {
		remote, err := sendGreeting(raw, l.client.self)
		return raw, remote, err
	}
	conn := tls.Client(raw, l.client.tls.config(x509.ExtKeyUsageServerAuth))
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, "", greetingError(err)
	}
	identity, err := identityOf(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, "", err
	}
	remote, err := sendGreeting(conn, l.client.self)
	if err != nil {
		return nil, "", err
	}
	if remote != identity.Host {
		return nil, "", &Error{Kind: WrongIdentity, Peer: remote, Err: fmt.Errorf("certificate is for %s", identity.URI())}
	}
	return conn, remote, nil
}

// drop forgets a closed connection.
func (l *link) drop(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

// unused reports whether the link has neither connection nor calls.
func (l *link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && l.dialled == nil && len(l.slots) == 0
}

// contextError converts the error of an ended context.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Error{Kind: Timeout}
	}
	return &Error{Kind: Cancelled}
}
