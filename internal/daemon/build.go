package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"log"
	"net"
	"net/netip"

	"golang.org/x/net/netutil"

	"github.com/oatlatch/oatlatch/internal/admin"
	"github.com/oatlatch/oatlatch/internal/configrunner"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/membershiprunner"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/probe"
	"github.com/oatlatch/oatlatch/internal/serve"
)

// build opens the listeners and creates the components. Components that need the
// bound addresses of others come after them.
func (d *Daemon) build() error {
	steps := []func() error{
		d.listen, d.buildPeers, d.buildPlatformClient, d.buildForwarder, d.buildDispatcher,
		d.buildProbeRunner, d.buildMembershipRunner, d.buildConfigRunner,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.registerPeerServices()
	d.buildServers()
	return nil
}

// listen opens the request and admin listeners and sets up this host's description.
// Other hosts are told the bound addresses, since a configured port may be 0.
func (d *Daemon) listen() error {
	s := &d.options.Settings
	d.self = host.Host{
		ID: host.ID(s.Host.ID), Incarnation: d.options.Incarnation,
		DataCentre: s.Host.DataCentre, Region: s.Host.Region,
	}
	var err error
	if d.requestListener, err = serve.Listen("request", s.Listen.Request); err != nil {
		return err
	}
	d.self.RequestAddress = boundAddress(d.requestListener)
	d.requestListener = netutil.LimitListener(d.requestListener, s.Limits.Connections)
	d.adminListener, err = serve.Listen("admin", s.Listen.Admin)
	return err
}

// buildPeers loads the TLS files, if any are set, and creates the server and the client
// for connections between hosts.
func (d *Daemon) buildPeers() error {
	s := &d.options.Settings
	if s.TLS.CA != "" {
		loaded, err := peer.LoadTLS(peer.KeySources{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
		if err != nil {
			return fmt.Errorf("settings:tls: %w", err)
		}
		if err := checkIdentity(loaded.Identity(), d.self); err != nil {
			return err
		}
		d.peerTLS = loaded
	}
	server, err := peer.NewServer(peer.ServerOptions{
		Self: d.self.ID, Listen: s.Listen.Peer, TLS: d.peerTLS, Logger: d.options.Logger, Registerer: d.registry,
	})
	if err != nil {
		return fmt.Errorf("settings:listen.peer: %w", err)
	}
	d.peerServer = server
	d.self.PeerAddress = server.Addr()
	d.peerClient = peer.NewClient(peer.ClientOptions{
		Self: d.self.ID, TLS: d.peerTLS, Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now,
	})
	return nil
}

// checkIdentity returns an error if the certificate names a different host or data
// centre than the settings.
func checkIdentity(identity peer.Identity, self host.Host) error {
	want := peer.Identity{Host: self.ID, DataCentre: self.DataCentre}
	if identity != want {
		return fmt.Errorf("settings:tls.certificate: the certificate is for %s, use one for %s or correct host.id and host.data_centre",
			identity.URI(), want.URI())
	}
	return nil
}

func (d *Daemon) buildPlatformClient() error {
	s := &d.options.Settings.Platform
	client, err := consul.NewHTTPClient(consul.Options{
		Addresses: s.Addresses, Token: s.Token, Timeout: s.Deadline, CallsPerSecond: s.CallsPerSecond,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	if err != nil {
		return fmt.Errorf("settings:platform: %w", err)
	}
	d.platformClient = client
	return nil
}

func (d *Daemon) buildForwarder() error {
	s := &d.options.Settings
	forwarder, err := forward.New(forward.Options{
		Self: d.self, Listen: s.Listen.Packet, Workers: s.Limits.Workers, MaxFlows: s.Limits.Flows, Peers: d.peerClient,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	if err != nil {
		return fmt.Errorf("settings:listen.packet: %w", err)
	}
	d.forwarder = forwarder
	d.self.PacketAddress = forwarder.Addr()
	return nil
}

func (d *Daemon) buildDispatcher() error {
	d.dispatcher = dispatch.New(dispatch.Options{
		Self: d.self, Peers: d.peerClient, Limits: d.requestLimits(),
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

func (d *Daemon) requestLimits() dispatch.Limits {
	s := &d.options.Settings.Limits
	return dispatch.Limits{
		MaxBodyBytes: s.RequestBody, MaxHeaderBytes: s.RequestHeader,
		QueueLimit: s.Queue, DefaultDeadline: s.Deadline,
	}
}

func (d *Daemon) buildProbeRunner() error {
	d.probeRunner = probe.New(probe.Options{
		Self: d.self, OnView: d.onUpstreamHealthChanged,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

func (d *Daemon) buildMembershipRunner() error {
	d.membershipRunner = membershiprunner.New(membershiprunner.Options{
		Self: d.self, Seeds: d.options.Settings.Peers.Seeds, Peers: d.peerClient, OnView: d.onMembershipChanged,
		PlatformHosts: d.platformHosts,
		Logger:        d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

// platformHosts reads the platform's host list, which lags behind the actual state. A
// host may be listed as both leaving and live; package membership resolves that.
func (d *Daemon) platformHosts(ctx context.Context) ([]membership.PlatformHost, error) {
	listed, err := d.platformClient.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var hosts []membership.PlatformHost
	for _, h := range listed.Leaving {
		hosts = append(hosts, membership.PlatformHost{ID: h.ID, Address: h.PeerAddress, Leaving: true})
	}
	for _, h := range listed.Live {
		hosts = append(hosts, membership.PlatformHost{ID: h.ID, Address: h.PeerAddress})
	}
	return hosts, nil
}

func (d *Daemon) buildConfigRunner() error {
	d.configRunner = configrunner.New(configrunner.Options{
		Self: d.self, Client: d.platformClient, Peers: d.peerClient, OnAdopt: d.onConfigAdopted,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

func (d *Daemon) registerPeerServices() {
	d.peerServer.Register("Member", d.membershipRunner.PeerService)
	d.peerServer.Register("Config", d.configRunner.PeerService)
	d.peerServer.Register("Flow", d.forwarder.PeerService)
	d.peerServer.Register("Request", d.dispatcher.PeerService)
}

func (d *Daemon) buildServers() {
	d.requestServer = dispatch.NewServer(d.dispatcher.Handler(), d.requestLimits())
	d.requestServer.ErrorLog = log.New(d.options.Logger, "", 0)
	d.adminServer = admin.NewServer(admin.Options{
		Status: func() any { return d.Status() }, Explain: d.forwarder.Explain,
		Ready: d.Ready, Gatherer: d.registry,
	})
}

// withAdminTLS returns the admin listener, with TLS and client certificates required if
// TLS is configured and the listener is not bound to a loopback address.
func (d *Daemon) withAdminTLS() net.Listener {
	if d.peerTLS == nil || boundAddress(d.adminListener).Addr().IsLoopback() {
		return d.adminListener
	}
	return tls.NewListener(d.adminListener, d.peerTLS.AdminServerConfig())
}

func boundAddress(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
