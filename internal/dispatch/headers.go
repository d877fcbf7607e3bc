package dispatch

import (
	"maps"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers between callers, hosts and upstreams.
const (
	HeaderDeadline = "Oatlatch-Deadline-Ms"
	HeaderTicket   = "Oatlatch-Ticket"
	HeaderOutcome  = "Oatlatch-Outcome"
	HeaderReason   = "Oatlatch-Reason"
	// HeaderRequestID tells an upstream which request it runs.
	HeaderRequestID = "Oatlatch-Request-Id"
)

// hopHeaders concern one connection and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by hosts and never passed through from either side.
var ownHeaders = []string{HeaderDeadline, HeaderTicket, HeaderOutcome, HeaderReason, HeaderRequestID}

// forwarded returns the header fields that go to the next hop. It shares the
// values with its argument.
func forwarded(in http.Header) http.Header {
	out := maps.Clone(in)
	for _, line := range in.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

// deadline returns when the request's answer stops being of use.
func (l Limits) deadline(now time.Time, h http.Header) (time.Time, bool) {
	values := h.Values(HeaderDeadline)
	if len(values) == 0 {
		return now.Add(l.DefaultDeadline), true
	}
	if len(values) > 1 {
		return time.Time{}, false
	}
	ms, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || ms == 0 {
		return time.Time{}, false
	}
	return now.Add(min(time.Duration(ms)*time.Millisecond, l.MaxDeadline)), true
}

// minLeft is the least time that must be left for a request to be sent on.
const minLeft = time.Millisecond

func setDeadline(h http.Header, left time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// idempotent says whether a method may be run more than once.
func idempotent(method string) bool { return method == http.MethodGet || method == http.MethodHead }
