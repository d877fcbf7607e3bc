// Package forward receives packets on a UDP socket and sends each one where a
// flow engine decides. Forwarder uses internal/flow, where hosts keep flow records
// and relay packets to the host that owns a flow's slot. EchoForwarder uses
// internal/flow/echo, where a token in the packet identifies the upstream.
package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// eventQueueSize is the maximum number of queued control events.
const eventQueueSize = 256

// ErrStopped is returned when the forwarder is no longer running.
var ErrStopped = errors.New("forwarder stopped: restart the daemon to forward packets")

// Forwarder forwards the packets that an entry host receives. It also runs the
// engine's control events and sends its messages to other hosts.
type Forwarder struct {
	options Options
	engine  *flow.Engine
	conn    *net.UDPConn
	metrics *metrics
	events  chan flow.Event
	sender  *messageSender
	// memberAddresses are the packet addresses of the other members.
	memberAddresses atomic.Pointer[map[netip.AddrPort]struct{}]
	// handedOver is closed when other hosts have taken over all slots that this host
	// owned.
	handedOver     chan struct{}
	handedOverOnce sync.Once
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// New binds the socket. Run must be called afterwards; it closes the socket.
func New(options Options) (*Forwarder, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Workers <= 0 {
		options.Workers = DefaultWorkers
	}
	conn, err := openSocket(options.Listen, options.Logger)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{
		options:    options,
		conn:       conn,
		events:     make(chan flow.Event, eventQueueSize),
		handedOver: make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	f.engine = flow.New(flow.Options{
		Self: options.Self.ID, DataCentre: options.Self.DataCentre, Seed: options.Seed, MaxFlows: options.MaxFlows,
	})
	if f.metrics, err = newMetrics(options.Registerer, f.engine); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	f.sender = newMessageSender(options.Peers, options.Logger, f.metrics)
	f.memberAddresses.Store(&map[netip.AddrPort]struct{}{})
	return f, nil
}

// Addr returns the bound address.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run forwards packets until ctx is cancelled. It closes the socket and returns
// when all its goroutines have ended.
func (f *Forwarder) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(f.stopped)
	var group sync.WaitGroup
	for range f.options.Workers {
		group.Go(func() { f.runWorker() })
	}
	group.Go(func() { f.runControlLoop(ctx) })
	<-ctx.Done()
	err := f.conn.Close()
	group.Wait()
	f.sender.wait()
	if err != nil {
		return fmt.Errorf("close packet socket: %w", err)
	}
	return nil
}

// Adopt makes the snapshot the configuration in force.
func (f *Forwarder) Adopt(s *config.Snapshot) {
	f.enqueue(flow.Adopted{Snapshot: s})
}

// SetMembers updates the members of the deployment. Services are not served
// before the first call, because another host may have newer state about them.
func (f *Forwarder) SetMembers(v membership.View) {
	addresses := make(map[netip.AddrPort]struct{}, len(v.Members))
	for _, m := range v.Members {
		if m.Host.ID != f.options.Self.ID {
			addresses[m.Host.PacketAddress] = struct{}{}
		}
	}
	f.memberAddresses.Store(&addresses)
	f.enqueue(flow.MembersChanged{View: v})
}

// SetUpstreams updates the states of the upstreams.
func (f *Forwarder) SetUpstreams(v health.View) {
	f.enqueue(flow.UpstreamsChanged{View: v})
}

// enqueue queues a control event and blocks while the queue is full. It discards
// the event when the forwarder has stopped.
func (f *Forwarder) enqueue(event flow.Event) {
	select {
	case f.events <- event:
	case <-f.stopped:
	}
}

// PeerService returns the net/rpc receiver for messages from the given host.
func (f *Forwarder) PeerService(from host.ID) any {
	return &Service{forwarder: f, from: from}
}

// Leave hands over the slots that the host owns and returns when other hosts have
// taken them over. The host keeps forwarding until Run returns.
func (f *Forwarder) Leave(ctx context.Context) error {
	f.enqueue(flow.Leave{})
	select {
	case <-f.handedOver:
		return nil
	case <-f.stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("hand over flows (other hosts must be reachable): %w", ctx.Err())
	}
}

// Explain returns how the engine would decide on a packet of the flow, and why.
func (f *Forwarder) Explain(k flow.Key) flow.Explanation {
	return f.engine.Explain(k)
}

// runControlLoop passes queued events and clock ticks to the engine until ctx is
// cancelled.
func (f *Forwarder) runControlLoop(ctx context.Context) {
	ticker := time.NewTicker(flow.TickInterval)
	defer ticker.Stop()
	for {
		var event flow.Event
		select {
		case event = <-f.events:
		case <-ticker.C:
			event = flow.Tick{}
		case <-ctx.Done():
			return
		}
		f.execute(ctx, f.engine.Step(f.options.Now(), event))
	}
}

// execute carries out the actions that the engine returned.
func (f *Forwarder) execute(ctx context.Context, actions []flow.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case flow.Send:
			f.sender.send(ctx, action.To, action.Message)
		case flow.Left:
			f.options.Logger.Info().Str("host", string(f.options.Self.ID)).Msg("flows_handed_over")
			f.handedOverOnce.Do(func() { close(f.handedOver) })
		}
	}
}
