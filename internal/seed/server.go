package seed

import (
	"fmt"
	"io"
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
	// Complete reports whether Snapshot returns a catalog.
	Complete() bool
}

// Offered takes the pages that other hosts offer to one that has just started.
type Offered interface {
	// Take puts the page in force. It returns false if the host has a later one.
	Take(page *catalog.Page) bool
	// Tag returns the tag of the page in force; empty if there is none.
	Tag() string
}

// Server serves the catalog of a host to hosts that start. It refuses at once while it has
// none, because it has just started itself, and beyond its rate.
type Server struct {
	catalog Catalog
	// offered is nil if no offers are taken.
	offered Offered
	now     func() time.Time

	mu sync.Mutex
	// packed is the last packed page, from packedAt, and tag identifies its content.
	packed   []byte
	packedAt time.Time
	tag      string
	// answers is the number of pages served and taken in the second that began at second.
	answers int
	second  time.Time
}

// NewServer returns a server of the catalog. It takes offers unless offered is nil.
func NewServer(c Catalog, offered Offered, now func() time.Time) *Server {
	return &Server{catalog: c, offered: offered, now: now}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != pagePath:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodHead:
		if s.offered != nil {
			w.Header().Set("ETag", s.offered.Tag())
		}
		w.WriteHeader(s.status())
	case r.Method == http.MethodPut && s.offered != nil:
		w.WriteHeader(s.take(r))
	case r.Method == http.MethodGet:
		packed, tag, status := s.page(r.Header.Get("If-None-Match"))
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(packed) // an error means that the other host has closed the connection
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// status returns the status of the response to the question whether the host lacks a page.
func (s *Server) status() int {
	if s.offered != nil && !s.catalog.Complete() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// take reads an offered page and returns the status of the response.
func (s *Server) take(r *http.Request) int {
	if s.status() == http.StatusOK {
		return http.StatusConflict
	}
	if !s.countAnswer() {
		return http.StatusTooManyRequests
	}
	packed, err := io.ReadAll(io.LimitReader(r.Body, maxPageBytes+1))
	if err != nil || len(packed) > maxPageBytes {
		return http.StatusRequestEntityTooLarge
	}
	page, err := decode(packed)
	switch {
	case err != nil:
		return http.StatusBadRequest
	case !s.offered.Take(&page):
		return http.StatusConflict
	default:
		return http.StatusNoContent
	}
}

// countAnswer counts a page that is served or taken. It returns false beyond the rate.
func (s *Server) countAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countAnswerLocked()
}

func (s *Server) countAnswerLocked() bool {
	now := s.now()
	if now.Sub(s.second) >= time.Second {
		s.second, s.answers = now, 0
	}
	if s.answers >= maxAnswersPerSecond {
		return false
	}
	s.answers++
	return true
}

// page returns the packed page with its tag, and the status of the answer. Only pages count
// towards the rate, not the answer that the asker has the page already.
func (s *Server) page(have string) (packed []byte, tag string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.packed != nil && now.Sub(s.packedAt) < pageLifetime {
		tag = s.tag
	} else {
		page, ok := s.catalog.Snapshot()
		if !ok {
			return nil, "", http.StatusServiceUnavailable
		}
		if tag = Tag(&page); tag != have {
			packed, err := encode(&page)
			if err != nil || len(packed) > maxPageBytes {
				return nil, "", http.StatusInternalServerError
			}
			s.packed, s.packedAt, s.tag = packed, now, tag
		}
	}
	if tag == have {
		return nil, tag, http.StatusNotModified
	}
	if !s.countAnswerLocked() {
		return nil, "", http.StatusTooManyRequests
	}
	return s.packed, s.tag, http.StatusOK
}

// Tag returns the tag of a page. The number of changes tells pages at the same position
// apart: what is kept of the time before a restore has no position of its own.
func Tag(page *catalog.Page) string {
	return fmt.Sprintf(`"%d.%d.%d"`, page.Position.Epoch, page.Position.Revision, len(page.Changes))
}
