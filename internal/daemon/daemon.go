package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/configrunner"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/membershiprunner"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/probe"
	"github.com/oatlatch/oatlatch/internal/serve"
)

// Daemon is an entry host: it forwards the packets of callers and dispatches their
// requests to upstreams.
type Daemon struct {
	options  Options
	registry *prometheus.Registry
	self     host.Host

	requestListener net.Listener
	adminListener   net.Listener
	peerTLS         *peer.TLS

	platformClient   *consul.HTTPClient
	peerServer       *peer.Server
	peerClient       *peer.Client
	membershipRunner *membershiprunner.Runner
	configRunner     *configrunner.Runner
	probeRunner      *probe.Runner
	forwarder        *forward.Forwarder
	dispatcher       *dispatch.Dispatcher
	requestServer    *http.Server
	adminServer      *http.Server
}

// New opens the daemon's listeners and creates its components. Nothing is served before
// Run. The error names the setting to correct.
func New(options Options) (*Daemon, error) {
	d := &Daemon{options: options, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Self describes this host as it is announced to its peers, with the bound addresses.
func (d *Daemon) Self() host.Host { return d.self }

// AdminAddress returns the bound address of the admin server.
func (d *Daemon) AdminAddress() net.Addr { return d.adminListener.Addr() }

// Snapshot returns the configuration in use, or nil if none has been adopted yet.
func (d *Daemon) Snapshot() *config.Snapshot { return d.configRunner.Snapshot() }

// ReloadKeys reloads the TLS certificates and the private key from their files. Existing
// connections are kept. It does nothing if TLS is not configured.
func (d *Daemon) ReloadKeys() error {
	if d.peerTLS == nil {
		return nil
	}
	if err := d.peerTLS.Reload(); err != nil {
		return fmt.Errorf("cannot reload the TLS files, the previous ones stay in use: %w", err)
	}
	d.options.Logger.Info().Msg("keys_reloaded")
	return nil
}

// Run serves until ctx ends and then stops gracefully. When force ends, Run returns
// without completing a graceful stop. Run also returns if a component fails.
func (d *Daemon) Run(ctx, force context.Context) error {
	defer d.closeListeners()
	serveCtx, cancelServing := context.WithCancel(force)
	defer cancelServing()
	group, componentCtx := errgroup.WithContext(serveCtx)
	d.startComponents(group, componentCtx)
	d.options.Logger.Info().Stringer("host", d.self).Str("data_centre", d.self.DataCentre).
		Stringer("peer", d.self.PeerAddress).Stringer("packet", d.self.PacketAddress).
		Stringer("request", d.self.RequestAddress).Stringer("admin", d.adminListener.Addr()).Msg("started")

	select {
	case <-ctx.Done():
		if force.Err() == nil {
			d.stopGracefully(force)
		}
	case <-componentCtx.Done():
	}
	cancelServing()
	err := group.Wait()
	d.peerClient.Close()
	return err
}

func (d *Daemon) startComponents(group *errgroup.Group, ctx context.Context) {
	components := []func(context.Context) error{
		d.peerServer.Run, d.membershipRunner.Run, d.configRunner.Run, d.probeRunner.Run, d.forwarder.Run, d.dispatcher.Run,
	}
	for _, run := range components {
		group.Go(func() error { return run(ctx) })
	}
	serve.RunHTTP(ctx, group, d.requestServer, d.requestListener)
	serve.RunHTTP(ctx, group, d.adminServer, d.withAdminTLS())
}

// onMembershipChanged passes a membership view to the components that use it.
func (d *Daemon) onMembershipChanged(view membership.View) {
	d.peerClient.SetMembers(view)
	d.configRunner.SetMembers(view)
	d.forwarder.SetMembers(view)
	d.dispatcher.SetMembers(view)
}

// onConfigAdopted passes an adopted configuration to the components that apply it.
func (d *Daemon) onConfigAdopted(snapshot *config.Snapshot) {
	d.probeRunner.Adopt(snapshot)
	d.forwarder.Adopt(snapshot)
	d.dispatcher.Adopt(snapshot)
}

// onUpstreamHealthChanged passes upstream states to the components that choose upstreams.
func (d *Daemon) onUpstreamHealthChanged(view health.View) {
	d.forwarder.SetUpstreams(view)
	d.dispatcher.SetUpstreams(view)
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.requestListener, d.adminListener} {
		if listener != nil {
			listener.Close()
		}
	}
}
