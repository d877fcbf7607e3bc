package edge

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/wait"
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

// prober probes suspected upstreams until the engine no longer suspects them. It
// sleeps while there are none.
type prober struct {
	engine *echo.Engine
	// check returns nil if the probed upstream answers.
	check  func(context.Context, echo.Probe) error
	now    func() time.Time
	logger zerolog.Logger
	// wake receives a value when an upstream becomes suspected.
	wake chan struct{}
}

func newProber(engine *echo.Engine, check func(context.Context, echo.Probe) error, now func() time.Time, logger zerolog.Logger) *prober {
	return &prober{engine: engine, check: check, now: now, logger: logger, wake: make(chan struct{}, 1)}
}

// wakeUp makes run look for suspected upstreams. It never blocks.
func (p *prober) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run probes suspected upstreams until ctx is cancelled.
func (p *prober) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		for p.engine.SuspectedCount() > 0 {
			p.probeDue(ctx)
			if wait.Sleep(ctx, probePollInterval) != nil {
				return nil
			}
		}
	}
}

// probeDue probes all upstreams that are due, and reports those that answered to the
// engine.
func (p *prober) probeDue(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, probe := range p.engine.DueProbes(p.now()) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := p.check(ctx, probe); err != nil {
				p.logger.Debug().Err(err).Str("upstream", probe.Name).Msg("check_failed")
				return nil
			}
			p.engine.ProbeSucceeded(p.now(), probe.Upstream)
			return nil
		})
	}
	_ = group.Wait() // the functions always return nil
}
