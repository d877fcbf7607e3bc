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

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is the ID that this host sends in its greeting.
	Self host.ID
	// TLS holds this host's keys. If it is nil, the client connects without TLS and
	// can only call loopback addresses.
	TLS        *TLS
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now    func() time.Time
	Limits Limits
}

// Client calls other entry hosts over persistent connections, one per peer address.
type Client struct {
	self    host.ID
	tls     *TLS
	logger  zerolog.Logger
	metrics *clientMetrics
	now     func() time.Time
	limits  Limits

	// ctx ends when the client is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	closed    bool
	wg        sync.WaitGroup
	endpoints map[netip.AddrPort]*endpoint
	// members maps the hosts that Call accepts to their peer addresses.
	members map[host.ID]netip.AddrPort
}

var _ Caller = (*Client)(nil)

// NewClient returns a client. Call fails for every host until SetMembers is called.
func NewClient(options ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	now := options.Now
	if now == nil {
		now = time.Now
	}
	return &Client{
		self:      options.Self,
		tls:       options.TLS,
		logger:    options.Logger,
		metrics:   newClientMetrics(options.Registerer),
		now:       now,
		limits:    options.Limits.withDefaults(),
		ctx:       ctx,
		cancel:    cancel,
		endpoints: make(map[netip.AddrPort]*endpoint),
		members:   make(map[host.ID]netip.AddrPort),
	}
}

// SetMembers replaces the hosts that Call accepts with the members of the view that
// are not dead. It removes the unused endpoints of other addresses.
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
	endpoints := maps.Clone(c.endpoints)
	c.mu.Unlock()
	for address, e := range endpoints {
		if _, ok := addresses[address]; !ok && e.unused() {
			c.removeEndpoint(address)
		}
	}
}

// removeEndpoint removes the endpoint of an address that no member has. A call that
// has already obtained the endpoint completes on it.
func (c *Client) removeEndpoint(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endpoints, address)
}

// Call implements Caller. If it returns because ctx ended, args may still be in the
// process of being encoded, so they must not be modified afterwards.
func (c *Client) Call(ctx context.Context, to host.ID, method string, args, reply any) error {
	c.mu.Lock()
	address, ok := c.members[to]
	c.mu.Unlock()
	if !ok {
		err := &Error{Kind: UnknownHost, Peer: to}
		c.metrics.calls.WithLabelValues(resultLabel(err)).Inc()
		return err
	}
	return c.call(ctx, address, to, method, args, reply)
}

// CallAddress calls the host at an address, whatever its ID.
func (c *Client) CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	return c.call(ctx, to, "", method, args, reply)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, expectedHost host.ID, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		withDeadline, cancel := context.WithTimeout(ctx, c.limits.CallTimeout)
		defer cancel()
		ctx = withDeadline
	}
	err := c.endpoint(to).call(ctx, expectedHost, method, args, reply)
	c.metrics.calls.WithLabelValues(resultLabel(err)).Inc()
	return err
}

// endpoint returns the endpoint of the address and creates it if necessary.
func (c *Client) endpoint(address netip.AddrPort) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[address]
	if e == nil {
		e = newEndpoint(c, address)
		c.endpoints[address] = e
	}
	return e
}

// startGoroutine starts a goroutine that Close waits for. After Close it starts none
// and returns false.
func (c *Client) startGoroutine(run func(ctx context.Context)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		run(c.ctx)
	}()
	return true
}

// Close fails the calls in progress, closes the connections and waits for their
// goroutines to end.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
	return nil
}

// copyReply copies the received reply to the one that was passed to Call.
func copyReply(reply, received any) {
	reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(received).Elem())
}
