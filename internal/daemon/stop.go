package daemon

import (
	"context"
	"errors"
)

// stopGracefully stops the host without interrupting flows or requests: it announces to
// its peers that it leaves, finishes the requests in progress and hands over its request
// and flow records. It returns early when force ends or the configured time limit passes.
func (d *Daemon) stopGracefully(force context.Context) {
	timeLimit := d.options.Settings.Stop.TimeLimit
	ctx, cancel := context.WithTimeout(force, timeLimit)
	defer cancel()
	started := d.options.Now()
	log := d.options.Logger
	log.Info().Dur("time_limit_ms", timeLimit).Msg("stopping")

	d.runStopStep(ctx, "announce", d.membershipRunner.Leave)
	d.runStopStep(ctx, "requests", func(ctx context.Context) error {
		summary, err := d.dispatcher.Stop(ctx, d.requestServer)
		log.Info().Stringer("handed_over", summary).Msg("requests_finished")
		return err
	})
	d.runStopStep(ctx, "flows", d.forwarder.Leave)
	switch {
	case force.Err() != nil:
		log.Warn().Msg("stop_forced")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		log.Warn().Msg("stop_passed_time_limit")
	default:
		log.Info().Dur("took_ms", d.options.Now().Sub(started)).Msg("stopped")
	}
}

// runStopStep runs one step and logs its error. The remaining steps run in any case.
func (d *Daemon) runStopStep(ctx context.Context, name string, run func(context.Context) error) {
	if err := run(ctx); err != nil {
		d.options.Logger.Warn().Str("step", name).Err(err).Msg("stop_step_failed")
	}
}
