package dispatch

import (
	"net/http"
	"time"
)

// Limits on connections of callers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// maxConcurrentStreams bounds the requests in progress on one HTTP/2 connection.
	maxConcurrentStreams = 128
)

// NewServer returns an HTTP server for the handler, with limits on slow callers and on large
// headers. It supports HTTP/1.1 and HTTP/2, also unencrypted HTTP/2.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	limits = limits.withDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
}
