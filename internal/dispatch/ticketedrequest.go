package dispatch

import (
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// ticketedRequest is a non-idempotent request whose body has been read. It runs under a
// ticket.
type ticketedRequest struct {
	service  service.ID
	method   string
	path     string
	host     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// digest identifies the request, so that a ticket cannot be used for another one.
// Headers are left out, because they may differ between repeats.
func (req ticketedRequest) digest() ticket.Digest {
	h := sha256.New()
	io.WriteString(h, req.method+"\x00"+req.path+"\x00")
	h.Write(req.body)
	return ticket.Digest(h.Sum(nil))
}

func (req ticketedRequest) upstreamRequest(requestID string) upstreamRequest {
	return upstreamRequest{
		method: req.method, path: req.path, host: req.host,
		header: req.header, body: req.body, requestID: requestID,
	}
}
