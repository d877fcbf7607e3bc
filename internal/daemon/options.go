// Package daemon creates the components of an entry host, connects them and runs them.
package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// Options configure a Daemon.
type Options struct {
	// Settings must be valid: New does not call Settings.Check.
	Settings settings.Settings
	Logger   zerolog.Logger
	// Now returns the current time.
	Now func() time.Time
	// Seed seeds the pseudo-random generators whose output need not be secret.
	Seed uint64
	// Incarnation identifies this process of the host. It must differ from the
	// incarnation of every earlier process.
	Incarnation host.Incarnation
}
