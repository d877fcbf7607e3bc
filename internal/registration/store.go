// Package registration registers an entry host in the metadata store, where other entry
// hosts find it, and issues the TLS certificates by which entry hosts trust each other.
package registration

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Lease is the lease of a registration. When the lease ends, the store removes the
// registration.
type Lease struct {
	// ID identifies the lease within the epoch of Registered; 0 means none. A restored
	// store may give the ID to another host.
	ID uint64
	// Registered is the position of the registration's write.
	Registered catalog.Position
}

// ErrLeaseEnded means that the lease has ended and the registration is gone.
var ErrLeaseEnded = errors.New("the lease has ended: register again")

// ErrRestored means that the store was restored from a copy since the lease was granted, so
// that the lease may be gone or belong to another host.
var ErrRestored = errors.New("the store was restored since the lease was granted: wait until its registrations are known")

// Store is the part of the metadata store that holds registrations.
type Store interface {
	// WritePeerKey stores the peer key in place of the one that was written at the position
	// replaces, whose revision is 0 if there must be none. It does nothing if the store has
	// another one.
	WritePeerKey(ctx context.Context, key []byte, replaces catalog.Position) error
	// Register stores the host's registration with a new lease. The lease ends after ttl
	// unless it is renewed.
	Register(ctx context.Context, host catalog.Host, ttl time.Duration) (Lease, error)
	// Renew extends the lease by its ttl. It returns ErrLeaseEnded if the lease has ended,
	// and ErrRestored if it may belong to another host.
	Renew(ctx context.Context, lease Lease) error
	// Unregister removes the registration that the named host made with the lease.
	Unregister(ctx context.Context, name string, lease Lease) error
}
