package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidencerpc"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/seed"
	"github.com/oatlatch/oatlatch/internal/serve"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

const (
	// httpTimeout is the time limit for reading an HTTP request, and for writing its
	// response.
	httpTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of an HTTP request header.
	maxHeaderBytes = 8 << 10
)

// Host is an entry host. Besides forwarding packets, it serves readiness checks,
// metrics and the calls of other hosts.
type Host struct {
	options         Options
	settings        atomic.Pointer[settings.Edge]
	registry        *prometheus.Registry
	engine          *echo.Engine
	feed            *feed.Feed
	forwarder       *forward.EchoForwarder
	prober          *prober
	peers           *peers
	exchange        *evidencerpc.Exchange
	progress        evacuationProgress
	seeding         *seeding
	offering        *offering
	snapshots       *snapshotPublisher
	warmup          *warmupRunner
	readyListener   net.Listener
	metricsListener net.Listener
	// seedListener is nil if there is no address for hosts that start.
	seedListener net.Listener
	// serving is set when the first view of the configuration and upstreams arrives.
	serving atomic.Bool
	// stopping is set when the host is asked to stop.
	stopping atomic.Bool
	// refusedChecks counts the readiness checks refused while stopping.
	refusedChecks atomic.Uint64
}

// New creates a host and binds its packet, readiness and metrics addresses. The host
// serves nothing before Run.
func New(options Options) (_ *Host, err error) {
	s := &options.Settings
	h := &Host{options: options, registry: prometheus.NewRegistry()}
	defer func() {
		if err != nil {
			h.closeListeners()
		}
	}()
	h.settings.Store(s)
	if h.warmup, err = newWarmupRunner(options, h.registry); err != nil {
		return nil, err
	}
	h.engine = echo.New(echo.Options{
		DataCentre: s.Host.DataCentre, MaxFlows: s.Limits.Flows, Seed: options.Seed, Without: options.Without, OnEvent: h.handleEvent,
		OnEvidence: func() { h.exchange.Notify() }, Warmup: h.warmup.limits(),
	})
	h.engine.SetRegions(options.Now(), s.Zones)
	h.prober = newProber(h.engine, options.Check, options.Now, options.Logger)
	feedMetrics, err := feed.NewMetrics(h.registry)
	if err != nil {
		return nil, err
	}
	skippedRecords, err := newSkippedRecords(options.Logger, h.registry)
	if err != nil {
		return nil, err
	}
	options.Store.OnSkippedRecord(skippedRecords.add)
	h.peers = newPeers(options, h.registry)
	h.exchange = evidencerpc.New(evidencerpc.Options{
		Engine: h.engine, Client: h.peers.evidenceClient, Now: options.Now, Evacuations: h.evacuationSums, OnSums: h.logEvacuationEverywhere,
	})
	h.peers.exchange = h.exchange
	h.snapshots = &snapshotPublisher{
		store: options.Snapshots, schedule: snapshot.NewSchedule(s.Store.History / refreshesPerHistory), lease: h.peers.lease,
		now: options.Now, logger: options.Logger, wake: make(chan struct{}, 1),
	}
	h.feed = feed.New(feed.Options{
		Self: s.Host.ID, DataCentre: s.Host.DataCentre, Store: options.Store, Peer: h.peers.feedSource, Send: h.peers.send, OnSilent: func(name string) { h.offering.noteSilent(name) },
		Snapshots: options.Snapshots, OnStoreRead: h.snapshots.wakeUp,
		Timing: feed.NewTiming(s.Store.ShortestApplyWithin()), Retention: catalog.RetentionOf(s.Limits.FlowAge), OnView: h.applyView, OnHosts: h.applyHosts,
		Logger: options.Logger, Metrics: feedMetrics, Now: options.Now, Seed: options.Seed,
	})
	if err := h.registerLag(); err != nil {
		return nil, err
	}
	h.peers.catalog, h.peers.receive, h.snapshots.catalog = h.feed, h.feed.Receive, h.feed
	h.seeding = &seeding{
		logger: options.Logger, now: options.Now, retention: catalog.RetentionOf(s.Limits.FlowAge),
		apply: h.serveView, requireCurrent: h.feed.RequireCurrent,
	}
	h.offering = &offering{
		self: s.Host.ID, dataCentre: s.Host.DataCentre, page: h.feed.Snapshot, offer: seed.Offer, wake: make(chan struct{}, 1),
		logger: options.Logger, now: options.Now, random: rand.New(rand.NewPCG(options.Seed, offeringStream)),
	}
	if h.readyListener, err = serve.Listen("ready", s.Listen.Ready); err != nil {
		return nil, err
	}
	if s.Listen.Seed.IsValid() {
		if h.seedListener, err = serve.Listen("seed", s.Listen.Seed); err != nil {
			return nil, err
		}
	}
	if s.Listen.Metrics.IsValid() {
		if h.metricsListener, err = serve.Listen("metrics", s.Listen.Metrics); err != nil {
			return nil, err
		}
	}
	// The forwarder is last, because only its Run closes its socket.
	h.forwarder, err = forward.NewEchoForwarder(forward.EchoForwarderOptions{
		Listen: s.Listen.Packet, CallerPort: s.Listen.Packet.Port(), Codec: options.Codec, Engine: h.engine,
		Logger: options.Logger, Registerer: h.registry, Now: options.Now, Started: options.Started,
	})
	if err != nil {
		return nil, fmt.Errorf("settings:listen.packet: %w", err)
	}
	return h, nil
}

// registerLag registers the metric that tells how far this host is behind.
func (h *Host) registerLag() error {
	behind := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oatlatch_feed_behind_seconds", Help: "Time for which this host has known that another knows something newer; 0 if none does.",
	}, func() float64 { return h.feed.Behind().Seconds() })
	if err := h.registry.Register(behind); err != nil {
		return fmt.Errorf("register the metric of the lag: %w", err)
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (h *Host) closeListeners() {
	for _, listener := range []net.Listener{h.readyListener, h.seedListener, h.metricsListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until ctx is cancelled, then drains: it keeps forwarding until routers
// no longer send it packets or the drain's time limit is reached. Cancelling force
// stops it at once.
func (h *Host) Run(ctx, force context.Context, reloader *Reloader) error {
	workCtx, cancelWork := context.WithCancel(force)
	defer cancelWork()
	group, groupCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return h.forwarder.Run(groupCtx) })
	group.Go(func() error { return h.feed.Run(groupCtx) })
	group.Go(func() error { return h.feed.RunPartners(groupCtx) })
	group.Go(func() error { return h.seeding.run(groupCtx, h.options.Settings.Store.Seeds) })
	group.Go(func() error { return h.offering.run(groupCtx) })
	group.Go(func() error { return h.prober.run(groupCtx) })
	group.Go(func() error { return new(stallDetector).run(groupCtx, h.options.Now, h.options.Logger) })
	group.Go(func() error { return h.peers.run(groupCtx) })
	group.Go(func() error { return h.exchange.Run(groupCtx) })
	group.Go(func() error { return h.snapshots.run(groupCtx) })
	group.Go(func() error { return h.warmup.run(groupCtx) })
	group.Go(func() error { return reloader.Run(groupCtx) })
	h.serveHTTP(groupCtx, group)
	s := &h.options.Settings
	h.options.Logger.Info().Str("data_centre", s.Host.DataCentre).
		Stringer("packet", h.forwarder.Addr()).Stringer("store", s.Store.Address).Msg("started")
	select {
	case <-ctx.Done():
		h.drain(groupCtx)
	case <-groupCtx.Done():
	}
	cancelWork()
	return group.Wait()
}

// applyView puts a new view of the catalog in force.
func (h *Host) applyView(view catalog.View) {
	if h.seeding.admit(&view) {
		h.serveView(view)
	}
}

// applyHosts passes a new view of the catalog to the parts that deal with other hosts.
func (h *Host) applyHosts(view catalog.View) {
	h.peers.setView(&view)
	self := &h.options.Settings.Host
	h.progress.setView(&view, self.ID)
	h.exchange.SetParents(feed.Parents(view.Hosts, self.ID, self.DataCentre))
	h.offering.setHosts(view.Hosts)
	h.snapshots.setView(&view, h.options.Settings.Host.DataCentre)
}

// serveView passes a view to the engine. The first one makes the host ready.
func (h *Host) serveView(view catalog.View) {
	h.engine.SetView(h.options.Now(), view)
	h.warmup.setView(h.engine.ColdUpstreams(h.options.Now()), &view)
	h.forwarder.ReleaseHeld()
	if h.serving.CompareAndSwap(false, true) {
		h.options.Logger.Info().Uint64("version", view.Configuration.Version).Int("upstreams", len(view.Upstreams)).
			Dur("took_ms", h.options.Now().Sub(h.options.Started)).Dur("processor_ms", h.options.ProcessorTime()).Msg("ready")
	}
}

// handleEvent logs an event of the engine, and wakes the prober if an upstream
// became suspected.
func (h *Host) handleEvent(event echo.Event) {
	if event.Kind == echo.Suspected {
		h.prober.wakeUp()
	}
	if event.Kind == echo.EvacuationInForce || event.Kind == echo.EvacuationEnded {
		h.logEvacuation(event)
		h.exchange.NotifyEvacuation()
		return
	}
	if event.Kind == echo.RecordsFull {
		p := &event.Records
		line := h.options.Logger.Warn().Int("records", p.Records).Uint64("evicted", p.Evicted).Uint64("refused", p.Refused)
		if p.Caller.IsValid() {
			line = line.Stringer("caller", p.Caller).Int("caller_records", p.CallerRecords).Int("count_error", p.CountError)
		}
		line.Msg(event.Kind.String())
		return
	}
	line := h.options.Logger.Warn().Str("data_centre", event.DataCentre).Dur("age_ms", event.Age)
	if event.Kind != echo.DataCentreSilent {
		line = line.Str("upstream", event.Upstream)
	}
	if event.Kind == echo.Suspected || event.Kind == echo.Ejected {
		line = line.Dur("process_age_ms", event.ProcessAge)
	}
	switch event.Kind {
	case echo.DataCentreSilent:
		line = line.Int("flows", event.UnansweredFlows)
	case echo.Suspected, echo.Cleared:
		line = line.Stringer("reason", event.Reason).Int("strikes", event.UnansweredFlows).Int("hosts", event.Hosts)
	case echo.Ejected:
		line = line.Stringer("reason", event.Reason).Float64("answers", event.Answers).Float64("failed", event.FailedAnswers).Int("hosts", event.Hosts)
	case echo.Unopened, echo.Unanswered:
		line = line.Str("flow", event.Caller.String()+">"+event.Address.String())
		if event.Kind == echo.Unanswered {
			line = line.Stringer("holder", event.Holder)
		}
	}
	line.Msg(event.Kind.String())
}

// serveHTTP serves readiness checks, and metrics and the host's status if an address is set for them.
func (h *Host) serveHTTP(ctx context.Context, group *errgroup.Group) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.options.ReadyPath, h.handleReady)
	serve.RunHTTP(ctx, group, newServer(mux), h.readyListener)
	if h.seedListener != nil {
		server := newServer(seed.NewServer(h.feed, h.seeding, h.options.Now))
		serve.RunHTTP(ctx, group, server, h.seedListener)
	}
	if h.metricsListener != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
		mux.HandleFunc("GET "+StatusPath, h.handleStatus)
		serve.RunHTTP(ctx, group, newServer(mux), h.metricsListener)
	}
}

// handleReady answers a readiness check. It refuses checks before the first view
// and while the host stops.
func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		h.refusedChecks.Add(1)
	}
	if !h.serving.Load() || h.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newServer returns an HTTP server with the host's timeouts and header limit.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, MaxHeaderBytes: maxHeaderBytes}
}
