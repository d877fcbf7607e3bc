package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/warmup"
)

// warmupCallTimeout is the time limit of one call for permissions.
const warmupCallTimeout = 2 * time.Second

// warmupRunner makes the calls to the store for permissions to send opening packets to
// cold upstreams. It sleeps while no upstream is cold.
type warmupRunner struct {
	// store and permissions are nil if opening packets are not limited.
	store       warmup.Store
	permissions *warmup.Permissions
	settings    settings.EdgeWarmup
	logger      zerolog.Logger
	calls       *prometheus.CounterVec
	// wake receives a value when there is a new view.
	wake chan struct{}
	// shares and cold are the numbers that were logged last.
	shares, cold int
}

func newWarmupRunner(options Options, registerer prometheus.Registerer) (*warmupRunner, error) {
	r := &warmupRunner{
		store: options.Warmups, settings: options.Settings.Warmup, logger: options.Logger, wake: make(chan struct{}, 1),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oatlatch_warmup_calls_total", Help: "Calls to the store for permissions to send new flows to cold upstreams, by call and outcome.",
		}, []string{"call", "outcome"}),
	}
	if r.store == nil {
		return r, nil
	}
	r.permissions = warmup.NewPermissions(warmup.Options{Host: options.Settings.Host.ID, Instance: options.Seed, Now: options.Boottime})
	gauge := func(name, help string, value func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
	}
	for _, c := range []prometheus.Collector{
		r.calls,
		gauge("oatlatch_warmup_shares", "Shares of budgets of cold upstreams that this host may use.", func() int { shares, _ := r.permissions.Held(); return shares }),
		gauge("oatlatch_warmup_cold_upstreams", "Cold upstreams with a limit of new flows.", func() int { _, cold := r.permissions.Held(); return cold }),
	} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register warm-up metrics, which a registry accepts only once: %w", err)
		}
	}
	return r, nil
}

// limits returns the limits for the engine.
func (r *warmupRunner) limits() echo.WarmupLimits {
	if r.permissions == nil {
		return echo.WarmupLimits{}
	}
	return echo.WarmupLimits{Gate: r.permissions, Overage: r.settings.Overage, Slack: r.settings.Slack}
}

// setView passes the cold upstreams, and the hosts and the epoch of a view.
func (r *warmupRunner) setView(cold []warmup.ColdProcess, view *catalog.View) {
	if r.permissions == nil {
		return
	}
	hosts := make([]string, 0, len(view.Hosts))
	for i := range view.Hosts {
		hosts = append(hosts, view.Hosts[i].Name)
	}
	r.permissions.SetView(cold, hosts, view.Position.Epoch)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run makes the calls that are due until ctx is cancelled.
func (r *warmupRunner) run(ctx context.Context) error {
	if r.permissions == nil {
		return nil
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		call, delay, ok := r.permissions.NextCall()
		if ok {
			r.do(ctx, &call)
			continue
		}
		r.logChange()
		if delay > 0 {
			timer.Reset(delay)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
	}
	return nil
}

// do makes the call and reports its result.
func (r *warmupRunner) do(ctx context.Context, call *warmup.Call) {
	ctx, cancel := context.WithTimeout(ctx, warmupCallTimeout)
	defer cancel()
	result, err := r.store.Do(ctx, call)
	r.permissions.Finish(call, &result)
	r.calls.WithLabelValues(call.Kind.String(), result.Outcome.String()).Inc()
	switch {
	case err != nil:
		r.logger.Warn().Stringer("call", call.Kind).Err(err).Msg("warmup_call_failed")
	case result.Outcome == warmup.LeaseEnded:
		r.logger.Warn().Stringer("call", call.Kind).Uint64("lease", call.Lease).Msg("warmup_lease_ended")
	}
}

// logChange logs the numbers of shares and of cold upstreams if they have changed.
func (r *warmupRunner) logChange() {
	shares, cold := r.permissions.Held()
	if shares != r.shares || cold != r.cold {
		r.shares, r.cold = shares, cold
		r.logger.Info().Int("shares", shares).Int("cold", cold).Msg("warmup_shares_changed")
	}
}
