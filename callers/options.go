// Package callers is an HTTP client for callers of services behind oatlatch. It
// acquires and sends tickets, sends the deadline along, and retries a non-idempotent
// request only where that cannot run it twice.
package callers

import (
	"net/http"
	"time"
)

// Options configures a Client.
type Options struct {
	// Hosts are the request addresses of entry hosts, as host:port. There must be at
	// least one. Attempts go to them in turn.
	Hosts []string
	// RequestHost is the Host header of the service.
	RequestHost string
	// HTTPClient is the HTTP client to use, except for its handling of redirects,
	// which are always returned. It defaults to a client with its own connections.
	HTTPClient *http.Client
	// Deadline is the time limit of requests that set none. It defaults to
	// DefaultDeadline.
	Deadline time.Duration
}

// DefaultDeadline is the time limit of requests if neither Options nor Request set one.
const DefaultDeadline = 10 * time.Second

// Request is a request to the service.
type Request struct {
	// Method is the HTTP method. GET and HEAD requests are treated as idempotent;
	// those of all other methods are sent with a ticket.
	Method string
	// Path starts with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is the time limit of the request, including retries. It defaults to the
	// one in Options.
	Deadline time.Duration
}
