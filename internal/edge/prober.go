package edge

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

const (
	// probePollInterval is the time between queries of the engine for upstreams that are
	// due to be probed.
	probePollInterval = 100 * time.Millisecond
	// probeTimeout is the time limit of one probe. It is many times the round trip
	// between data centres and less than the time between probes of an upstream.
	probeTimeout = 250 * time.Millisecond
	// maxConcurrentProbes is the maximum number of probes at a time.
	maxConcurrentProbes = 16
)

// prober probes suspected and mute upstreams. It sleeps while there are none.
type prober struct {
	engine *echo.Engine
	// check returns nil if the probed upstream answers, and an error that wraps
	// echo.ErrUnreachable if it cannot be reached.
	check  func(context.Context, echo.Probe) error
	now    func() time.Time
	logger zerolog.Logger
	// wake receives a value when an upstream becomes suspected or mute.
	wake chan struct{}
}

func newProber(engine *echo.Engine, check func(context.Context, echo.Probe) error, now func() time.Time, logger zerolog.Logger) *prober {
	return &prober{engine: engine, check: check, now: now, logger: logger, wake: make(chan struct{}, 1)}
}

// wakeUp makes run look for upstreams to probe. It never blocks.
func (p *prober) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run probes suspected and mute upstreams until ctx is cancelled.
func (p *prober) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		p.probeUntilCleared(ctx)
	}
}

// probeUntilCleared probes suspected and mute upstreams until there are none.
func (p *prober) probeUntilCleared(ctx context.Context) {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentProbes)
	defer func() { _ = probes.Wait() }() // the functions always return nil
	timer := time.NewTimer(probePollInterval)
	defer timer.Stop()
	for p.engine.ProbedCount() > 0 {
		p.probeDue(ctx, &probes)
		timer.Reset(probePollInterval)
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// probeDue starts a probe of each upstream that is due.
func (p *prober) probeDue(ctx context.Context, probes *errgroup.Group) {
	for _, probe := range p.engine.DueProbes(p.now()) {
		probes.Go(func() error {
			p.probe(ctx, probe)
			return nil
		})
	}
}

// probe probes an upstream, and tells the engine if it answered or could not be reached.
func (p *prober) probe(ctx context.Context, probe echo.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := p.check(ctx, probe)
	if err == nil {
		p.engine.ProbeSucceeded(p.now(), probe.Upstream)
		return
	}
	p.logger.Debug().Err(err).Str("upstream", probe.Name).Msg("check_failed")
	p.engine.ProbeFailed(probe.Upstream, errors.Is(err, echo.ErrUnreachable))
}
