// Package serve opens TCP listeners at the addresses in the settings and runs HTTP
// servers on them.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// RunHTTP runs the server in goroutines of the group until ctx ends, and then closes
// the listener and all connections. It returns immediately.
func RunHTTP(ctx context.Context, group *errgroup.Group, server *http.Server, listener net.Listener) {
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
