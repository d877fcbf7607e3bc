// Package publish decides what a publication writes. It merges the operator's services
// with the published ones, detects conflicts, keeps released addresses in quarantine
// and resolves writes whose response was lost. It performs no I/O.
//
// A configuration is stored as a head and pages: the pages contain the services, and the
// head lists the pages of the current version.
package publish

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Request describes one publication.
type Request struct {
	// ID identifies the publication. It is random and unique.
	ID string
	// Operator is recorded with the publication.
	Operator string
	// Services are added or replaced. Other published services are kept.
	Services []service.Service
	// Remove names services to remove.
	Remove []string
	// Base, if not zero, is the version that the service files are based on: a change
	// to a service that was published after it is a conflict.
	Base config.Version
	// AboveVersion, if not zero, makes the new version higher than it. Operators need this
	// after the platform was restored from a backup that is older than the version that
	// hosts have adopted.
	AboveVersion config.Version
	// RotateTicketKeys adds a new ticket key in front of those in use.
	RotateTicketKeys bool
	// Secrets are used where the publication needs new keys.
	Secrets Secrets
	// At is the time of the publication by the publisher's wall clock.
	At time.Time
}

// Secrets are newly generated random keys.
type Secrets struct {
	// FlowKey is used by the first publication only.
	FlowKey [16]byte
	// TicketKey is used by the first publication and by a rotation.
	TicketKey [32]byte
}

// Result describes what a publication wrote.
type Result struct {
	// Version is the version that contains the services.
	Version config.Version
	// Changed are the names of the services that were added or replaced.
	Changed []string
	// Removed are the names of the services that were removed.
	Removed []string
	// Unchanged is set if everything was already published and nothing was written.
	Unchanged bool
	// Publication is the ID of the publication; empty if Unchanged.
	Publication string
	// Swaps is the number of attempts to write the head.
	Swaps int
}
