package snapshot

import (
	"context"
	"errors"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

var (
	// ErrNone means that the store has no snapshot.
	ErrNone = errors.New("the store has no snapshot: read a listing")
	// ErrConflict means that the stored snapshot is not the one that the write was to
	// replace.
	ErrConflict = errors.New("another host has written a snapshot: wait until it is due again")
	// ErrRestored means that the store was restored from a copy after the snapshot was
	// taken.
	ErrRestored = errors.New("the store was restored after the snapshot was taken: take another one")
)

// Record is a sealed snapshot in the store.
type Record struct {
	Sealed []byte
	// Written is the position of its write.
	Written catalog.Position
	// PeerKey is the peer key in the store.
	PeerKey []byte
}

// Store is the part of the platform's store that holds the snapshot.
type Store interface {
	// ReadSnapshot returns the snapshot in the store, or ErrNone.
	ReadSnapshot(ctx context.Context) (Record, error)
	// WriteSnapshot replaces the snapshot that was written at the position previous, whose
	// revision is 0 if there must be none. The store removes it when the lease ends. The
	// result is the snapshot in the store after the call: the written one, or, with
	// ErrConflict, the one that another host has written.
	WriteSnapshot(ctx context.Context, sealed []byte, lease uint64, previous catalog.Position) (catalog.StoredSnapshot, error)
}
