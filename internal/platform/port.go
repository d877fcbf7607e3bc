// Package platform is the port to the platform's key-value service and host
// list, and its adapter to the published Consul HTTP API.
package platform

import (
	"context"

	"github.com/oatlatch/oatlatch/internal/host"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Value is one key of the store as it was read.
type Value struct {
	Key  string
	Data []byte
	// Revision is the store's revision that last wrote the key; zero when the key is absent.
	Revision uint64
	// Index is the position from which a following Watch waits.
	Index uint64
}

// Exists reports whether the key was present.
func (v Value) Exists() bool { return v.Revision != 0 }

// HostList is the platform's list of entry hosts. It lags and is a hint only.
// A host in both lists is leaving.
type HostList struct {
	Live    []host.Host
	Leaving []host.Host
}

// Port is what oatlatch uses of the platform. Calls return an *UnavailableError
// when nothing took effect and an *AmbiguousError when a write may have.
type Port interface {
	// Get reads one key with the store's strongest consistency.
	Get(ctx context.Context, key string) (Value, error)
	// List reads all keys under the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Keys lists the names of the keys under the prefix, sorted.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes the key if its revision is still the given one; zero
	// writes only an absent key. It reports whether it wrote, and is never retried.
	CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error)
	// Delete removes the key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision uint64) (bool, error)
	// Watch waits until the key changes after the index or the wait time ends, and
	// returns the key as it then is. Index zero returns at once.
	Watch(ctx context.Context, key string, index uint64) (Value, error)
	// Hosts reads the lagging host list.
	Hosts(ctx context.Context) (HostList, error)
}
