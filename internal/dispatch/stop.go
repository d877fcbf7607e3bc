package dispatch

import (
	"context"
	"errors"
	"net/http"
)

// Stop drains the dispatcher and shuts its server down without cutting a
// request. In between it goes on serving until no request has arrived for the
// quiet time, because a caller may just be using a connection that is kept
// alive; every answer meanwhile asks the caller to close its connection. The
// quiet time ends early when ctx does.
func (d *Dispatcher) Stop(ctx context.Context, server *http.Server) (Summary, error) {
	summary, drainErr := d.Drain(ctx)
	d.awaitQuiet(ctx)
	shutdownErr := server.Shutdown(context.WithoutCancel(ctx))
	return summary, errors.Join(drainErr, shutdownErr)
}

// awaitQuiet waits until no request has arrived for the quiet time.
func (d *Dispatcher) awaitQuiet(ctx context.Context) {
	left := d.limits.QuietTime
	for left > 0 {
		if !sleep(ctx, left) {
			return
		}
		left = d.limits.QuietTime - d.options.Now().Sub(d.metrics.lastBegun())
	}
}
