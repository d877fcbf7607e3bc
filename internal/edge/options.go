// Package edge assembles an entry host that steers flows by token and learns
// its configuration and upstreams from a store that others write.
package edge

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/roster"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// Store is the platform's store.
type Store interface {
	feed.Source
	// OnSkipped sets what is told of records that cannot be used.
	OnSkipped(func(key string, err error))
}

// Options hold what a host needs from outside.
type Options struct {
	// Settings must have passed Check.
	Settings settings.Edge
	// Store is read, Roster is written to.
	Store  Store
	Roster roster.Store
	Codec  forward.Codec
	// Check returns nil if a suspected upstream itself answers at its address.
	Check func(context.Context, echo.Probe) error
	// ReadyPath is the HTTP path at which routers ask whether the host is ready.
	ReadyPath string
	// Apply is told of settings that were reloaded.
	Apply  func(settings.Edge)
	Logger zerolog.Logger
	// Now returns the current time.
	Now func() time.Time
	// Started is when the process started, ProcessorTime what it has used since.
	Started       time.Time
	ProcessorTime func() time.Duration
	Seed          uint64
}
