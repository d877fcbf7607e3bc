package daemon

import (
	"context"
	"errors"
)

// stop ends the host's work without cutting any: it tells its peers, hands its
// records over, finishes requests in progress, and only then returns. It
// returns early when force ends or the time limit of a planned stop passes.
func (d *Daemon) stop(force context.Context) {
	limit := d.options.Settings.Stop.TimeLimit
	ctx, cancel := context.WithTimeout(force, limit)
	defer cancel()
	started := d.options.Now()
	log := d.options.Logger
	log.Info().Dur("time_limit_ms", limit).Msg("stopping")

	d.step(ctx, "announce", d.members.Leave)
	d.step(ctx, "requests", func(ctx context.Context) error {
		summary, err := d.dispatcher.Stop(ctx, d.callers)
		log.Info().Stringer("handed_over", summary).Msg("requests_finished")
		return err
	})
	d.step(ctx, "flows", d.forwarder.Leave)
	switch {
	case force.Err() != nil:
		log.Warn().Msg("stop_forced")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		log.Warn().Msg("stop_passed_time_limit")
	default:
		log.Info().Dur("took_ms", d.options.Now().Sub(started)).Msg("stopped")
	}
}

func (d *Daemon) step(ctx context.Context, name string, run func(context.Context) error) {
	if err := run(ctx); err != nil {
		d.options.Logger.Warn().Str("step", name).Err(err).Msg("stop_step_failed")
	}
}
