package edge

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/catalogrpc"
	"github.com/oatlatch/oatlatch/internal/evidencerpc"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gossip"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/latest"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/registration"
)

// peerIdleTimeout is the time after which an unused connection between hosts is closed.
const peerIdleTimeout = 10 * time.Second

// peers runs the peer server, the peer client and this host's registration. They need
// the peer key, a secret that all hosts share, and start once it is known.
type peers struct {
	options  Options
	registry prometheus.Registerer
	// catalog and exchange are served to other hosts. They are set before run.
	catalog  catalogrpc.CatalogProvider
	exchange *evidencerpc.Exchange
	// receive takes messages of other hosts. It is set before run.
	receive func(from string, m feed.Message) (answer feed.Message, ok bool)
	// keys passes the peer keys to use, and lostKeys those to write to the store again.
	keys     latest.Value[peerKeys]
	lostKeys latest.Value[lostPeerKey]
	// epoch is the epoch of the last view, which setView alone uses.
	epoch uint64
	// client is nil until the peer key is known.
	client atomic.Pointer[peer.Client]
	// gossip is nil until the peer key is known.
	gossip atomic.Pointer[gossip.Socket]
	// registrar is nil until the peer key is known.
	registrar atomic.Pointer[registration.Registrar]
	// unregisterRequested is closed when this host begins to stop. Its registration is
	// then removed so that other hosts stop choosing it.
	unregisterRequested chan struct{}
}

func newPeers(options Options, registry prometheus.Registerer) *peers {
	return &peers{
		options: options, registry: registry, keys: latest.New[peerKeys](), lostKeys: latest.New[lostPeerKey](),
		unregisterRequested: make(chan struct{}),
	}
}

// setView passes the peer key, and after a restore of the store this host's registration
// in it. Only one goroutine may call it.
func (p *peers) setView(view *catalog.View) {
	if view.PeerKey != nil {
		p.keys.Set(peerKeys{current: view.PeerKey, former: view.FormerPeerKey})
	}
	var lost lostPeerKey
	if view.LostPeerKey != nil {
		lost = lostPeerKey{key: view.PeerKey, stored: view.LostPeerKey.Stored}
	}
	p.lostKeys.Set(lost)
	registrar := p.registrar.Load()
	if view.Position.Epoch == p.epoch || registrar == nil {
		return
	}
	p.epoch = view.Position.Epoch
	restored := registration.Restored{Epoch: p.epoch}
	for i := range view.Hosts {
		if view.Hosts[i].Name == p.options.Settings.Host.ID {
			restored.Registered = view.Hosts[i].Registered
		}
	}
	registrar.StoreRestored(restored)
}

// feedSource returns a source that reads the catalog from another host, or nil
// while the peer key is unknown.
func (p *peers) feedSource(h catalog.Host) feed.Source {
	client := p.client.Load()
	if client == nil {
		return nil
	}
	return catalogrpc.NewSource(client, h.Peer)
}

// send sends a message to another host unless the peer key is unknown.
func (p *peers) send(to catalog.Host, m feed.Message) {
	if socket := p.gossip.Load(); socket != nil {
		socket.Send(to.Peer, &m)
	}
}

// evidenceClient returns the client for calls to other hosts, or nil while the peer key is
// unknown.
func (p *peers) evidenceClient() evidencerpc.Client {
	if client := p.client.Load(); client != nil {
		return client
	}
	return nil
}

// lease returns the lease of this host's registration; its ID is 0 while there is none.
func (p *peers) lease() registration.Lease {
	registrar := p.registrar.Load()
	if registrar == nil {
		return registration.Lease{}
	}
	return registrar.Lease()
}

// run serves other hosts until ctx is cancelled. It logs a failure and returns nil,
// because the host can still serve callers and read the store directly.
func (p *peers) run(ctx context.Context) error {
	keys, err := p.awaitPeerKey(ctx)
	if err != nil {
		return nil // ctx was cancelled
	}
	if err := p.serve(ctx, keys); err != nil {
		p.options.Logger.Error().Err(err).Msg("peers_unavailable")
	}
	return nil
}

// serve answers calls of other hosts, creates the client for calls to them and keeps
// this host registered until unregister is called.
func (p *peers) serve(ctx context.Context, keys peerKeys) error {
	s := &p.options.Settings
	sources, err := p.issueKeys(keys)
	if err != nil {
		return err
	}
	credentials, err := peer.LoadTLS(sources)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(peer.ServerOptions{
		Self: host.ID(s.Host.ID), Listen: s.Listen.Peer, TLS: credentials, Logger: p.options.Logger, Registerer: p.registry,
		Limits: peer.Limits{IdleTimeout: peerIdleTimeout},
	})
	if err != nil {
		return fmt.Errorf("settings:listen.peer: %w", err)
	}
	socket, err := p.newSocket(server.Addr(), keys)
	if err != nil {
		return err
	}
	p.gossip.Store(socket)
	server.Register(catalogrpc.ServiceName, func(caller host.ID) any { return catalogrpc.NewService(p.catalog, caller) })
	server.Register(evidencerpc.ServiceName, func(caller host.ID) any { return evidencerpc.NewService(p.exchange, caller) })
	client := peer.NewClient(peer.ClientOptions{
		Self: host.ID(s.Host.ID), TLS: credentials, Logger: p.options.Logger, Registerer: p.registry, Now: p.options.Now,
		Limits: peer.Limits{IdleTimeout: peerIdleTimeout},
	})
	p.client.Store(client)
	registrar := registration.NewRegistrar(registration.Options{
		Store: p.options.Registration, Logger: p.options.Logger, Seed: p.options.Seed,
		Host: catalog.Host{Name: s.Host.ID, DataCentre: s.Host.DataCentre, Peer: server.Addr(), Seed: s.Listen.Seed, Bandwidth: s.Limits.Bandwidth},
	})
	p.registrar.Store(registrar)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(groupCtx) })
	group.Go(func() error { return socket.Run(groupCtx) })
	registrarCtx, stopRegistrar := context.WithCancel(groupCtx)
	defer stopRegistrar()
	group.Go(func() error { return registrar.Run(registrarCtx) })
	group.Go(func() error { return p.followKeys(groupCtx, credentials, socket) })
	group.Go(func() error { return p.restoreKeys(groupCtx) })
	group.Go(func() error {
		select {
		case <-p.unregisterRequested:
			stopRegistrar()
		case <-groupCtx.Done():
		}
		return nil
	})
	err = group.Wait()
	_ = client.Close() // returns no error
	return err
}

// newSocket returns a socket for messages at the address at which this host takes calls.
func (p *peers) newSocket(listen netip.AddrPort, keys peerKeys) (*gossip.Socket, error) {
	derived, err := gossip.NewKeys(keys.current, keys.former)
	if err != nil {
		return nil, err
	}
	socket, err := gossip.NewSocket(gossip.Options{
		Self: p.options.Settings.Host.ID, Listen: listen, Keys: derived, Receive: p.receive, Logger: p.options.Logger, Registerer: p.registry,
	})
	if err != nil {
		return nil, fmt.Errorf("settings:listen.peer: %w", err)
	}
	return socket, nil
}

// unregister starts the removal of this host's registration. The host still answers
// calls. It must be called at most once.
func (p *peers) unregister() { close(p.unregisterRequested) }
