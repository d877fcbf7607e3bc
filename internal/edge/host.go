package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/serve"
	"github.com/oatlatch/oatlatch/internal/settings"
)

const (
	// httpTimeout bounds the reading and the writing of one HTTP exchange.
	httpTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request to the host.
	maxHeaderBytes = 8 << 10
)

// Host is one entry host.
type Host struct {
	options   Options
	settings  atomic.Pointer[settings.Edge]
	registry  *prometheus.Registry
	engine    *echo.Engine
	feed      *feed.Feed
	forwarder *forward.EchoForwarder
	prober    *prober
	peers     *peers
	ready     net.Listener
	metrics   net.Listener
	// serving is set once the host knows the configuration and the upstreams.
	serving atomic.Bool
	// stopping is set once the host was asked to stop.
	stopping atomic.Bool
	// refusals counts the readiness checks refused since then.
	refusals atomic.Uint64
}

// New binds the host's addresses. Nothing is served before Run.
func New(options Options) (*Host, error) {
	s := &options.Settings
	h := &Host{options: options, registry: prometheus.NewRegistry()}
	h.settings.Store(s)
	h.engine = echo.New(echo.Options{
		DataCentre: s.Host.DataCentre, MaxFlows: s.Limits.Flows, Seed: options.Seed, OnEvent: h.onEvent,
	})
	h.prober = newProber(h.engine, options.Check, options.Now, options.Logger)
	calls, err := feed.NewMetrics(h.registry)
	if err != nil {
		return nil, err
	}
	skipped, err := newSkipped(options.Logger, h.registry)
	if err != nil {
		return nil, err
	}
	options.Store.OnSkipped(skipped.record)
	h.peers = newPeers(options, h.registry)
	h.feed = feed.New(feed.Options{
		Self: s.Host.ID, DataCentre: s.Host.DataCentre, Store: options.Store, Peer: h.peers.source,
		Timing: feed.NewTiming(s.Store.Soonest()), OnView: h.onView,
		Logger: options.Logger, Metrics: calls, Now: options.Now, Seed: options.Seed,
	})
	h.peers.catalog = h.feed
	h.forwarder, err = forward.NewEchoForwarder(forward.EchoForwarderOptions{
		Listen: s.Listen.Packet, CallerPort: s.Listen.Packet.Port(), Codec: options.Codec, Engine: h.engine,
		Logger: options.Logger, Registerer: h.registry, Now: options.Now,
	})
	if err != nil {
		return nil, fmt.Errorf("settings:listen.packet: %w", err)
	}
	if h.ready, err = serve.Listen("ready", s.Listen.Ready); err != nil {
		return nil, err
	}
	if s.Listen.Metrics.IsValid() {
		if h.metrics, err = serve.Listen("metrics", s.Listen.Metrics); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// Run serves until ctx ends, then goes on until routers send it nothing more.
// Ending force cuts that short.
func (h *Host) Run(ctx, force context.Context, reloader *Reloader) error {
	working, stop := context.WithCancel(force)
	defer stop()
	group, running := errgroup.WithContext(working)
	group.Go(func() error { return h.forwarder.Run(running) })
	group.Go(func() error { return h.feed.Run(running) })
	group.Go(func() error { return h.prober.run(running) })
	group.Go(func() error { return new(stallWatch).run(running, h.options.Now, h.options.Logger) })
	group.Go(func() error { return h.peers.run(running) })
	group.Go(func() error { return reloader.Run(running) })
	h.serveHTTP(running, group)
	s := &h.options.Settings
	h.options.Logger.Info().Str("data_centre", s.Host.DataCentre).
		Stringer("packet", h.forwarder.Addr()).Stringer("store", s.Store.Address).Msg("started")
	select {
	case <-ctx.Done():
		h.leave(running)
	case <-running.Done():
	}
	stop()
	return group.Wait()
}

// onView puts a view in force.
func (h *Host) onView(view catalog.View) {
	h.engine.SetView(h.options.Now(), view)
	h.peers.setSecret(view.PeerKey)
	if h.serving.CompareAndSwap(false, true) {
		h.options.Logger.Info().Uint64("version", view.Configuration.Version).Int("upstreams", len(view.Upstreams)).
			Dur("took_ms", h.options.Now().Sub(h.options.Started)).Dur("processor_ms", h.options.ProcessorTime()).Msg("ready")
	}
}

// onEvent logs what the engine has come to believe.
func (h *Host) onEvent(event echo.Event) {
	if event.Kind == echo.Suspected {
		h.prober.suspected()
	}
	line := h.options.Logger.Warn().Str("upstream", event.Upstream).Str("data_centre", event.DataCentre).Dur("age_ms", event.Age)
	switch event.Kind {
	case echo.Suspected, echo.Cleared:
		line = line.Stringer("reason", event.Reason).Int("strikes", event.Strikes)
	case echo.Unopened, echo.Unanswered:
		line = line.Str("flow", event.Caller.String()+">"+event.Address.String())
	}
	line.Msg(event.Kind.String())
}

// serveHTTP answers readiness checks, and metrics if they have an address.
func (h *Host) serveHTTP(ctx context.Context, group *errgroup.Group) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.options.ReadyPath, h.answerReady)
	serve.HTTP(ctx, group, newServer(mux), h.ready)
	if h.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
		serve.HTTP(ctx, group, newServer(mux), h.metrics)
	}
}

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		h.refusals.Add(1)
	}
	if !h.serving.Load() || h.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newServer returns a server with the limits of all requests to the host.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, MaxHeaderBytes: maxHeaderBytes}
}
