package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/catalogrpc"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/registration"
)

const (
	// peerKeyWait is the maximum time that a host waits for another one to create the
	// peer key before it tries to.
	peerKeyWait = time.Second
	// peerKeyRetry is the time between attempts to create the peer key.
	peerKeyRetry = 3 * time.Second
	// peerIdleTimeout is the time after which an unused connection between hosts is
	// closed.
	peerIdleTimeout = 10 * time.Second
	// peerKeyTimeout is the time limit of one attempt to create the peer key.
	peerKeyTimeout = 2 * time.Second
)

// peers runs the peer server, the peer client and this host's registration. They
// start once the peer key is known, a secret that all hosts share.
type peers struct {
	options  Options
	registry prometheus.Registerer
	catalog  catalogrpc.Catalog
	// peerKey receives the key once, when peerKeySet becomes true.
	peerKey    chan []byte
	peerKeySet atomic.Bool
	client     atomic.Pointer[peer.Client]
	// unregistering is closed when this host stops, so that others stop choosing it.
	unregistering chan struct{}
}

func newPeers(options Options, registry prometheus.Registerer) *peers {
	return &peers{options: options, registry: registry, peerKey: make(chan []byte, 1), unregistering: make(chan struct{})}
}

// setPeerKey passes the peer key to awaitPeerKey. Later keys are ignored.
func (p *peers) setPeerKey(key []byte) {
	if key != nil && p.peerKeySet.CompareAndSwap(false, true) {
		p.peerKey <- key
	}
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

// run serves other hosts until ctx is cancelled. It returns no error when it cannot,
// because the host can still serve callers and read the store directly.
func (p *peers) run(ctx context.Context) error {
	key, err := p.awaitPeerKey(ctx)
	if err != nil {
		return nil // ctx was cancelled
	}
	if err := p.serve(ctx, key); err != nil {
		p.options.Logger.Error().Err(err).Msg("peers_unavailable")
	}
	return nil
}

// serve answers calls of other hosts and keeps this host registered.
func (p *peers) serve(ctx context.Context, peerKey []byte) error {
	s := &p.options.Settings
	tlsKeys, err := registration.IssueTLS(peerKey, peer.Identity{Host: host.ID(s.Host.ID), DataCentre: s.Host.DataCentre})
	if err != nil {
		return err
	}
	server, err := peer.NewServer(peer.ServerOptions{
		Self: host.ID(s.Host.ID), Listen: s.Listen.Peer, TLS: tlsKeys, Logger: p.options.Logger, Registerer: p.registry,
		Limits: peer.Limits{IdleTimeout: peerIdleTimeout},
	})
	if err != nil {
		return fmt.Errorf("settings:listen.peer: %w", err)
	}
	server.Register(catalogrpc.ServiceName, func(host.ID) any { return catalogrpc.NewService(p.catalog) })
	client := peer.NewClient(peer.ClientOptions{
		Self: host.ID(s.Host.ID), TLS: tlsKeys, Logger: p.options.Logger, Registerer: p.registry, Now: p.options.Now,
		Limits: peer.Limits{IdleTimeout: peerIdleTimeout},
	})
	p.client.Store(client)
	registrar := registration.NewRegistrar(registration.Options{
		Store: p.options.Registration, Logger: p.options.Logger, Seed: p.options.Seed,
		Host: catalog.Host{Name: s.Host.ID, DataCentre: s.Host.DataCentre, Peer: server.Addr(), Bandwidth: s.Limits.Bandwidth},
	})
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(groupCtx) })
	registrarCtx, stopRegistrar := context.WithCancel(groupCtx)
	defer stopRegistrar()
	group.Go(func() error { return registrar.Run(registrarCtx) })
	group.Go(func() error {
		select {
		case <-p.unregistering:
			stopRegistrar()
		case <-groupCtx.Done():
		}
		return nil
	})
	err = group.Wait()
	_ = client.Close() // returns no error
	return err
}

// unregister removes this host's registration. The host still answers calls.
func (p *peers) unregister() { close(p.unregistering) }

// awaitPeerKey waits for the peer key, which this host creates if no other does.
// The first attempt comes after a random delay so that few hosts attempt it.
func (p *peers) awaitPeerKey(ctx context.Context) ([]byte, error) {
	delay := time.Duration(rand.Int64N(int64(peerKeyWait)))
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case key := <-p.peerKey:
			timer.Stop()
			return key, nil
		case <-timer.C:
		}
		p.createPeerKey(ctx)
		delay = peerKeyRetry
	}
}

// createPeerKey writes a peer key to the store unless it has one. The feed delivers
// the key in the store.
func (p *peers) createPeerKey(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerKeyTimeout)
	defer cancel()
	if err := p.options.Registration.CreatePeerKey(ctx, registration.NewPeerKey()); err != nil {
		p.options.Logger.Warn().Err(err).Msg("peer_key_not_written")
	}
}
