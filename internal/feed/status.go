package feed

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Status tells what a feed knows, and from where.
type Status struct {
	// Position is the position up to which the catalog is complete; its revision is zero
	// until a listing is.
	Position catalog.Position
	// Version is the version of the catalog's configuration; zero if it has none.
	Version uint64
	// LastContact is when the store last answered, directly or through other hosts; zero if
	// it never did.
	LastContact time.Time
	// Source is the name of the host that is read, or "store".
	Source string
}

// Status returns what the feed knows.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Position: f.catalog.Position(), Version: f.catalog.Version(), LastContact: f.catalog.LastContact(), Source: f.via}
	if s.Source == "" {
		s.Source = storeName
	}
	return s
}
