// Package callers is a client for the callers of oatlatch services. It does the
// ticket exchange, passes the deadline on and repeats requests only where that
// cannot make them run twice.
package callers

import (
	"net/http"
	"time"
)

// Options sets up a client.
type Options struct {
	// Hosts are the request addresses of entry hosts, as host:port. The client
	// goes on to the next one when a host does not answer.
	Hosts []string
	// RequestHost is the Host header that names the service.
	RequestHost string
	// HTTPClient defaults to a client with its own connections.
	HTTPClient *http.Client
	// Deadline applies to requests without their own; it defaults to DefaultDeadline.
	Deadline time.Duration
}

// DefaultDeadline is the time that a request may take when nothing else is said.
const DefaultDeadline = 10 * time.Second

// Request is one request to the service.
type Request struct {
	Method string
	// Path starts with a slash and may have a query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is the time that the request may take, retries included.
	Deadline time.Duration
}
