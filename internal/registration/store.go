// Package registration registers an entry host in the metadata store, where other entry
// hosts find it, and issues the TLS certificates by which entry hosts trust each other.
package registration

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Lease identifies the lease of a registration. When the lease ends, the store
// removes the registration.
type Lease uint64

// ErrLeaseEnded means that the lease has ended and the registration is gone.
var ErrLeaseEnded = errors.New("the lease has ended: register again")

// Store is the part of the metadata store that holds registrations.
type Store interface {
	// CreatePeerKey stores the peer key, unless the store already has one.
	CreatePeerKey(ctx context.Context, key []byte) error
	// Register stores the host's registration with a new lease. The lease ends after ttl
	// unless it is renewed.
	Register(ctx context.Context, host catalog.Host, ttl time.Duration) (Lease, error)
	// Renew extends the lease by its ttl. It returns ErrLeaseEnded if the lease has ended.
	Renew(ctx context.Context, lease Lease) error
	// Unregister ends the lease and removes the registration.
	Unregister(ctx context.Context, lease Lease) error
}
