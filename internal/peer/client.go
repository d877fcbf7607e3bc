package peer

import (
	"context"
	"maps"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Self names this host in the greeting.
	Self host.ID
	// TLS holds the keys; nil connects without TLS, which only loopback may do.
	TLS        *TLS
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	Now        func() time.Time
	Limits     Limits
}

// Client calls other entry hosts over kept connections, one per peer address.
type Client struct {
	self    host.ID
	tls     *TLS
	logger  zerolog.Logger
	metrics *clientMetrics
	now     func() time.Time
	limits  Limits

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	wait    sync.WaitGroup
	links   map[netip.AddrPort]*link
	members map[host.ID]netip.AddrPort
}

var _ Caller = (*Client)(nil)

// NewClient returns a client without members.
func NewClient(options ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	now := options.Now
	if now == nil {
		now = time.Now
	}
	return &Client{
		self:    options.Self,
		tls:     options.TLS,
		logger:  options.Logger,
		metrics: newClientMetrics(options.Registerer),
		now:     now,
		limits:  options.Limits.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[netip.AddrPort]*link),
		members: make(map[host.ID]netip.AddrPort),
	}
}

// SetMembers replaces the hosts that Call knows.
func (c *Client) SetMembers(view membership.View) {
	c.mu.Lock()
	c.members = make(map[host.ID]netip.AddrPort, len(view.Members))
	addresses := make(map[netip.AddrPort]struct{}, len(view.Members))
	for _, member := range view.Members {
		if member.State == membership.Dead {
			continue
		}
		c.members[member.Host.ID] = member.Host.PeerAddress
		addresses[member.Host.PeerAddress] = struct{}{}
	}
	links := maps.Clone(c.links)
	c.mu.Unlock()
	for address, l := range links {
		if _, ok := addresses[address]; !ok && l.unused() {
			c.forget(address)
		}
	}
}

// forget removes the link to an address that is no member's. A call that still
// holds the link completes on it.
func (c *Client) forget(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, address)
}

// Call implements Caller. After a call that ended with its context the arguments
// may still be being encoded: the caller must not change them.
func (c *Client) Call(ctx context.Context, to host.ID, method string, args, reply any) error {
	c.mu.Lock()
	address, ok := c.members[to]
	c.mu.Unlock()
	if !ok {
		err := &Error{Kind: UnknownHost, Peer: to}
		c.metrics.calls.WithLabelValues(resultOf(err)).Inc()
		return err
	}
	return c.call(ctx, address, to, method, args, reply)
}

// CallAddress calls the host at an address, whichever it is.
func (c *Client) CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	return c.call(ctx, to, "", method, args, reply)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, expect host.ID, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		withDeadline, cancel := context.WithTimeout(ctx, c.limits.CallTimeout)
		defer cancel()
		ctx = withDeadline
	}
	err := c.link(to).call(ctx, expect, method, args, reply)
	c.metrics.calls.WithLabelValues(resultOf(err)).Inc()
	return err
}

// link returns the link to the address.
func (c *Client) link(address netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = newLink(c, address)
		c.links[address] = l
	}
	return l
}

// spawn starts a goroutine that Close waits for; it reports false after Close.
func (c *Client) spawn(run func(ctx context.Context)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		run(c.ctx)
	}()
	return true
}

// Close fails the calls in progress, closes the connections and waits for them.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wait.Wait()
	return nil
}

// copyReply sets *reply to *private.
func copyReply(reply, private any) {
	reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(private).Elem())
}
