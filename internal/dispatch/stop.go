package dispatch

import (
	"context"
	"errors"
	"github.com/oatlatch/oatlatch/internal/wait"
	"net/http"
)

// maxQuietTimes bounds the wait for quiet when callers keep coming, as a multiple
// of the quiet time.
const maxQuietTimes = 2

// Stop drains the dispatcher and shuts its server down without cutting a
// request. In between it goes on serving until no request has arrived for the
// quiet time, or for twice that time, because a caller may just be using a
// connection that is kept alive; every answer meanwhile asks the caller to close
// its connection. The stop is cut short when ctx ends.
func (d *Dispatcher) Stop(ctx context.Context, server *http.Server) (Summary, error) {
	summary, drainErr := d.Drain(ctx)
	quiet, cancel := context.WithTimeout(ctx, maxQuietTimes*d.limits.QuietTime)
	d.awaitQuiet(quiet)
	cancel()
	shutdownErr := server.Shutdown(ctx)
	return summary, errors.Join(drainErr, shutdownErr)
}

// awaitQuiet waits until no request has arrived for the quiet time.
func (d *Dispatcher) awaitQuiet(ctx context.Context) {
	left := d.limits.QuietTime
	for left > 0 {
		if wait.For(ctx, left) != nil {
			return
		}
		left = d.limits.QuietTime - d.options.Now().Sub(d.metrics.lastBegun())
	}
}
