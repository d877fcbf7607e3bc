package dispatch

import (
	"context"
	"errors"
	"github.com/oatlatch/oatlatch/internal/wait"
	"net/http"
)

// maxQuietPeriods bounds the wait for a quiet period while requests keep arriving, as a
// multiple of the quiet period.
const maxQuietPeriods = 2

// Stop drains the dispatcher and then shuts the server down without aborting a request.
// Before the shutdown it keeps serving until no request has arrived for a quiet period, but
// for at most maxQuietPeriods of them, because a caller may be sending a request on a
// connection that is kept alive. Each response in the meantime asks the caller to close its
// connection. Stop returns early when ctx ends.
func (d *Dispatcher) Stop(ctx context.Context, server *http.Server) (DrainSummary, error) {
	summary, drainErr := d.Drain(ctx)
	quietCtx, cancel := context.WithTimeout(ctx, maxQuietPeriods*d.limits.QuietPeriod)
	d.awaitQuietPeriod(quietCtx)
	cancel()
	shutdownErr := server.Shutdown(ctx)
	return summary, errors.Join(drainErr, shutdownErr)
}

// awaitQuietPeriod waits until no request has arrived for the quiet period.
func (d *Dispatcher) awaitQuietPeriod(ctx context.Context) {
	timeLeft := d.limits.QuietPeriod
	for timeLeft > 0 {
		if wait.Sleep(ctx, timeLeft) != nil {
			return
		}
		timeLeft = d.limits.QuietPeriod - d.options.Now().Sub(d.metrics.lastArrival())
	}
}
