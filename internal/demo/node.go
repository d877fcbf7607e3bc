package demo

import (
	"context"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// node is a running entry host.
type node interface {
	// Status returns the host's state, or an error while it cannot be read.
	Status() (daemon.Status, error)
	// Stop begins a planned stop.
	Stop()
	// Done is closed when the host has ended.
	Done() <-chan struct{}
	// Err returns why the host ended, once Done is closed; nil after a clean stop.
	Err() error
}

// launcher starts the number-th entry host, which ends at once with the context.
type launcher func(ctx context.Context, s settings.Settings, number int) (node, error)
