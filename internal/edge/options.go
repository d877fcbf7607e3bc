// Package edge assembles an entry host that forwards packets by the token in them. The
// host reads the configuration and the upstreams from the platform's store and writes
// neither.
package edge

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/registration"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/snapshot"
	"github.com/oatlatch/oatlatch/internal/warmup"
)

// Store reads the configuration and the upstreams from the platform's store.
type Store interface {
	feed.Source
	// OnSkippedRecord sets the function that is called for each record that cannot be used.
	OnSkippedRecord(func(key string, err error))
}

// Options holds the settings and dependencies of a host.
type Options struct {
	// Settings must have passed Check.
	Settings settings.Edge
	// Store provides the configuration and upstreams.
	Store Store
	// Snapshots holds a snapshot of the catalog, which hosts read when they start; nil for
	// none.
	Snapshots snapshot.Store
	// Registration stores the host's registration, by which other hosts find it.
	Registration registration.Store
	// Warmups holds the permissions to send opening packets to cold upstreams; nil for
	// none, in which case such packets are not limited.
	Warmups warmup.Store
	// Boottime returns the time since the machine was started, suspensions included. Only
	// Warmups requires it.
	Boottime func() time.Duration
	// Codec decodes and encodes packets.
	Codec forward.Codec
	// Check probes a suspected upstream. It returns nil if that upstream, and not
	// another one, answers at its address, and an error that wraps echo.ErrUnreachable if it
	// cannot be reached there.
	Check func(context.Context, echo.Probe) error
	// ReadyPath is the HTTP path of the readiness checks by routers.
	ReadyPath string
	// Apply is called with the new settings after a reload.
	Apply  func(settings.Edge)
	Logger zerolog.Logger
	// Now returns the current time.
	Now func() time.Time
	// Started is when the process started.
	Started time.Time
	// ProcessorTime returns the CPU time that the process has used.
	ProcessorTime func() time.Duration
	// Without holds the mechanisms of the engine that are switched off.
	Without echo.MechanismSet
	// Seed seeds random choices.
	Seed uint64
}
