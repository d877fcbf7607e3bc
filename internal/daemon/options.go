// Package daemon assembles an entry host from its duties and runs it.
package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// Options hold what a daemon needs from outside.
type Options struct {
	// Settings must have passed Check.
	Settings settings.Settings
	Logger   zerolog.Logger
	// Now returns the current time.
	Now func() time.Time
	// Seed feeds every pseudo-random choice that need not be secret.
	Seed uint64
	// Incarnation must differ from that of every earlier process of the host.
	Incarnation host.Incarnation
}
