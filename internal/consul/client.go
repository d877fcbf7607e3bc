// Package consul defines the interface to the platform, which is the key-value store and
// host list that all hosts share, and implements it with a client of the Consul HTTP API.
package consul

import (
	"context"

	"github.com/oatlatch/oatlatch/internal/host"
)

// MaxValueBytes is the maximum size of a value that the platform stores.
const MaxValueBytes = 1 << 20

// Value is a key with its data, or the fact that the key is absent.
type Value struct {
	Key  string
	Data []byte
	// Revision is the store's revision at the last write of the key. It is zero if the
	// key is absent.
	Revision uint64
	// Index is the index for the next Watch of the key. It is valid only in values
	// that Get or Watch returned.
	Index uint64
}

// Exists reports whether the key was present.
func (v Value) Exists() bool { return v.Revision != 0 }

// HostList is the platform's list of entry hosts. It may be out of date, so it is only
// a hint. A host in both lists is leaving.
type HostList struct {
	Live    []host.Host
	Leaving []host.Host
}

// Client is the interface to the platform. A call that fails returns an
// *UnavailableError if it changed nothing and an *AmbiguousError if it is a write that
// may have taken effect. CompareAndSwap returns a *TooLargeError for data larger than
// MaxValueBytes.
type Client interface {
	// Get reads one key with the store's strongest consistency.
	Get(ctx context.Context, key string) (Value, error)
	// List reads all keys with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Keys returns the names of the keys with the prefix, sorted.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes the key if it still has the given revision, or if it is
	// absent and the revision is zero. It reports whether it wrote the key. It is
	// never retried.
	CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error)
	// Delete removes the key if it still has the given revision, and reports whether
	// it did. It is never retried.
	Delete(ctx context.Context, key string, revision uint64) (bool, error)
	// Watch waits until the key has changed since the index, or until the wait time
	// ends, and returns the current value. With index zero it returns at once.
	Watch(ctx context.Context, key string, index uint64) (Value, error)
	// Hosts reads the host list, which may be out of date.
	Hosts(ctx context.Context) (HostList, error)
}
