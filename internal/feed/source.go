package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Source provides the contents of the platform's store, either from the store itself or
// from another entry host.
type Source interface {
	// List reads one page of a listing of all records. The cursor after is empty for
	// the first page, and Next of the previous page for the others. If allowStale is
	// set, the page may be out of date, which reduces the load on the store.
	List(ctx context.Context, after string, allowStale bool) (catalog.Page, error)
	// Watch returns the changes after the given state. If there are none, it waits for
	// the next change for up to the time wait. It returns ErrCompacted if a listing is
	// needed instead.
	Watch(ctx context.Context, have catalog.Have, wait time.Duration) (catalog.Update, error)
}

// PeerProgress is what another entry host knows.
type PeerProgress struct {
	catalog.Progress
	// Age is the time since the store last answered that host, directly or through others.
	Age time.Duration
	// Isolated is set if that host takes itself to be cut off from the store and from others.
	Isolated bool
}

// ErrCompacted means that the source no longer has the requested changes, or that they
// could not be merged into the catalog.
var ErrCompacted = errors.New("requested changes are no longer available: read a listing")

// StatusError means that the store answered a call with an error status.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered with status %d: try again later", e.Status)
}
