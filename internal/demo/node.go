package demo

import (
	"context"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// node is an entry host started by the demo, in this process or in one of its own.
type node interface {
	// Status returns the host's status, or an error if it cannot be read at the moment.
	Status() (daemon.Status, error)
	// Stop starts a graceful stop and returns at once.
	Stop()
	// Done is closed when the host has ended.
	Done() <-chan struct{}
	// Err returns why the host ended, or nil after a graceful stop. It must not be called
	// before Done is closed.
	Err() error
}

// launcher starts an entry host. A host in this process derives its seed and incarnation
// from number, which differs for each host. When ctx ends, the host ends without a
// graceful stop.
type launcher func(ctx context.Context, s settings.Settings, number int) (node, error)
