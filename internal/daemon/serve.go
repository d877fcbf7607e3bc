package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// serveHTTP serves until ctx ends; connections still open then are closed.
func serveHTTP(group *errgroup.Group, ctx context.Context, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
