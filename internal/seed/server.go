package seed

import (
	"net/http"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// pagePath is the path at which a host serves its page.
	pagePath = "/page"
	// maxAnswersPerSecond limits the pages that a host serves. With 100 KB a page, they
	// take 8 Mbit/s of its link, less than half of the smallest one. A host that is refused
	// asks another seed.
	maxAnswersPerSecond = 10
	// pageLifetime is how long a packed page is served again without packing it anew.
	pageLifetime = 200 * time.Millisecond
)

// Catalog is the catalog that a Server serves.
type Catalog interface {
	// Snapshot returns the whole catalog, or false while it is incomplete.
	Snapshot() (catalog.Page, bool)
}

// Server serves the catalog of a host to hosts that start. It refuses at once while it has
// none, because it has just started itself, and beyond its rate.
type Server struct {
	catalog Catalog
	now     func() time.Time

	mu sync.Mutex
	// packed is the last packed page, from packedAt.
	packed   []byte
	packedAt time.Time
	// answers is the number of pages served in the second that began at second.
	answers int
	second  time.Time
}

// NewServer returns a server of the catalog.
func NewServer(c Catalog, now func() time.Time) *Server { return &Server{catalog: c, now: now} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != pagePath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	packed, status := s.page()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(packed) // an error means that the other host has closed the connection
}

// page returns the packed page, and the status of the answer.
func (s *Server) page() ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.second) >= time.Second {
		s.second, s.answers = now, 0
	}
	if s.answers >= maxAnswersPerSecond {
		return nil, http.StatusTooManyRequests
	}
	if s.packed == nil || now.Sub(s.packedAt) >= pageLifetime {
		page, ok := s.catalog.Snapshot()
		if !ok {
			return nil, http.StatusServiceUnavailable
		}
		packed, err := encode(&page)
		if err != nil || len(packed) > maxPageBytes {
			return nil, http.StatusInternalServerError
		}
		s.packed, s.packedAt = packed, now
	}
	s.answers++
	return s.packed, http.StatusOK
}
