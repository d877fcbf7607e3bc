// Package publish decides what a publication writes: it merges the operator's
// services with the published ones, finds conflicts, keeps released addresses in
// quarantine and resolves writes whose answer was lost.
package publish

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Request is what one operator publishes.
type Request struct {
	// ID identifies the publication. It is random and unique.
	ID       string
	Operator string
	// Services are added or replaced. Published services that are not named stay.
	Services []service.Service
	// Remove names services to remove.
	Remove []string
	// Base, if not zero, is the version that the service files were made from: a
	// service that another publication changed since is a conflict.
	Base config.Version
	// Above, if not zero, raises the new version above it. Operators need it after
	// the platform was restored from a backup older than what hosts have adopted.
	Above config.Version
	// RotateTicketKeys adds the new ticket key in front of those in use.
	RotateTicketKeys bool
	// Secrets are used where the publication needs new ones.
	Secrets Secrets
	// At is the publisher's wall clock.
	At time.Time
}

// Secrets are fresh random keys.
type Secrets struct {
	FlowKey   [16]byte
	TicketKey [32]byte
}

// Result says what a publication did.
type Result struct {
	// Version is the version in which the services are published.
	Version config.Version
	// Changed and Removed are the names of services that the publication wrote.
	Changed []string
	Removed []string
	// Unchanged is set when everything was published already and nothing was written.
	Unchanged bool
	// Publication is the ID of the publication; empty when Unchanged.
	Publication string
	// Swaps is the number of times that the head was written or tried.
	Swaps int
}
