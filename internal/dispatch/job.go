package dispatch

import (
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// job is a non-idempotent request with its body read.
type job struct {
	service  service.ID
	method   string
	path     string
	host     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// digest identifies what the caller asked for, without the headers that may
// differ between repeats.
func (j job) digest() ticket.Digest {
	h := sha256.New()
	io.WriteString(h, j.method+"\x00"+j.path+"\x00")
	h.Write(j.body)
	return ticket.Digest(h.Sum(nil))
}

func (j job) outbound(requestID string) outbound {
	return outbound{
		method: j.method, path: j.path, host: j.host,
		header: j.header, body: j.body, requestID: requestID,
	}
}
