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
	"github.com/oatlatch/oatlatch/internal/adopt"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/member"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/probe"
	"github.com/oatlatch/oatlatch/internal/serve"
)

func (d *Daemon) build() error {
	steps := []func() error{
		d.bind, d.buildPeers, d.buildPlatform, d.buildForwarder, d.buildDispatcher,
		d.buildProbes, d.buildMembers, d.buildAdoption,
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

// bind opens the listeners of requests and admin and learns their ports.
func (d *Daemon) bind() error {
	s := &d.options.Settings
	d.self = host.Host{
		ID: host.ID(s.Host.ID), Incarnation: d.options.Incarnation,
		DataCentre: s.Host.DataCentre, Region: s.Host.Region,
	}
	var err error
	if d.requests, err = serve.Listen("request", s.Listen.Request); err != nil {
		return err
	}
	d.self.RequestAddress = boundAddress(d.requests)
	d.requests = netutil.LimitListener(d.requests, s.Limits.Connections)
	d.admin, err = serve.Listen("admin", s.Listen.Admin)
	return err
}

func (d *Daemon) buildPeers() error {
	s := &d.options.Settings
	if s.TLS.CA != "" {
		keys, err := peer.LoadTLS(peer.TLSFiles{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
		if err != nil {
			return fmt.Errorf("settings:tls: %w", err)
		}
		if err := checkIdentity(keys.Identity(), d.self); err != nil {
			return err
		}
		d.keys = keys
	}
	server, err := peer.NewServer(peer.ServerOptions{
		Self: d.self.ID, Listen: s.Listen.Peer, TLS: d.keys, Logger: d.options.Logger, Registerer: d.registry,
	})
	if err != nil {
		return fmt.Errorf("settings:listen.peer: %w", err)
	}
	d.peerServer = server
	d.self.PeerAddress = server.Addr()
	d.peerClient = peer.NewClient(peer.ClientOptions{
		Self: d.self.ID, TLS: d.keys, Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now,
	})
	return nil
}

// checkIdentity refuses keys that name another host or data centre than the settings.
func checkIdentity(identity peer.Identity, self host.Host) error {
	want := peer.Identity{Host: self.ID, DataCentre: self.DataCentre}
	if identity != want {
		return fmt.Errorf("settings:tls.certificate: the certificate is for %s, use one for %s or correct host.id and host.data_centre",
			identity.URI(), want.URI())
	}
	return nil
}

func (d *Daemon) buildPlatform() error {
	s := &d.options.Settings.Platform
	port, err := platform.NewHTTP(platform.Options{
		Addresses: s.Addresses, Token: s.Token, Deadline: s.Deadline, CallsPerSecond: s.CallsPerSecond,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	if err != nil {
		return fmt.Errorf("settings:platform: %w", err)
	}
	d.platform = port
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

func (d *Daemon) buildProbes() error {
	d.probes = probe.New(probe.Options{
		Self: d.self, OnView: d.onUpstreams,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

func (d *Daemon) buildMembers() error {
	d.members = member.New(member.Options{
		Self: d.self, Seeds: d.options.Settings.Peers.Seeds, Peers: d.peerClient, OnView: d.onMembers,
		PlatformHosts: d.hostHints,
		Logger:        d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

// hostHints reads the platform's lagging host list. Membership decides about a
// host that is in both of its lists.
func (d *Daemon) hostHints(ctx context.Context) ([]membership.PlatformHost, error) {
	list, err := d.platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var hints []membership.PlatformHost
	for _, h := range list.Leaving {
		hints = append(hints, membership.PlatformHost{ID: h.ID, Address: h.PeerAddress, Leaving: true})
	}
	for _, h := range list.Live {
		hints = append(hints, membership.PlatformHost{ID: h.ID, Address: h.PeerAddress})
	}
	return hints, nil
}

func (d *Daemon) buildAdoption() error {
	d.adoption = adopt.New(adopt.Options{
		Self: d.self, Port: d.platform, Peers: d.peerClient, OnAdopt: d.onSnapshot,
		Logger: d.options.Logger, Registerer: d.registry, Now: d.options.Now, Seed: d.options.Seed,
	})
	return nil
}

func (d *Daemon) registerPeerServices() {
	d.peerServer.Register("Member", d.members.PeerService)
	d.peerServer.Register("Config", d.adoption.PeerService)
	d.peerServer.Register("Flow", d.forwarder.PeerService)
	d.peerServer.Register("Request", d.dispatcher.PeerService)
}

func (d *Daemon) buildServers() {
	d.callers = dispatch.NewServer(d.dispatcher.Handler(), d.requestLimits())
	d.callers.ErrorLog = log.New(d.options.Logger, "", 0)
	d.operators = admin.NewServer(admin.Options{
		Status: func() any { return d.Status() }, Explain: d.forwarder.Explain,
		Ready: d.Ready, Gatherer: d.registry,
	})
}

// adminListener asks operators for a certificate unless they are on this machine.
func (d *Daemon) adminListener() net.Listener {
	if d.keys == nil || boundAddress(d.admin).Addr().IsLoopback() {
		return d.admin
	}
	return tls.NewListener(d.admin, d.keys.AdminServerConfig())
}

func boundAddress(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
