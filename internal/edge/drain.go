package edge

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
)

// maxDrainFraction is the maximum fraction of the stop time limit that the drain may
// take. The rest is left for the process to exit before it is killed.
const maxDrainFraction = 0.8

// drain makes readiness checks fail, removes the host's registration and waits until
// routers no longer send it packets, for at most the drain's time limit. Forwarding
// continues meanwhile. Cancelling ctx ends the wait.
func (h *Host) drain(ctx context.Context) {
	limit := time.Duration(maxDrainFraction * float64(h.settings.Load().Stop.TimeLimit))
	started := h.options.Now()
	h.options.Logger.Info().Dur("time_limit_ms", limit).Msg("stopping")
	h.stopping.Store(true)
	h.peers.unregister()
	tracker := newDrainTracker(started, limit, h.forwarder.Received())
	for !tracker.done(h.options.Now(), h.refusedChecks.Load(), h.forwarder.Received()) {
		if wait.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
	h.options.Logger.Info().Dur("took_ms", h.options.Now().Sub(started)).
		Uint64("refused_checks", h.refusedChecks.Load()).Uint64("packets", h.forwarder.Received()).Msg("stopped")
}
