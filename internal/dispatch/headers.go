package dispatch

import (
	"maps"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers exchanged between callers, hosts and upstreams.
const (
	HeaderDeadline = "Oatlatch-Deadline-Ms"
	HeaderTicket   = "Oatlatch-Ticket"
	HeaderOutcome  = "Oatlatch-Outcome"
	HeaderReason   = "Oatlatch-Reason"
	// HeaderRequestID identifies the request to the upstream.
	HeaderRequestID = "Oatlatch-Request-Id"
)

// hopByHopHeaders concern a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are set by hosts. They are not forwarded in either direction.
var reservedHeaders = []string{HeaderDeadline, HeaderTicket, HeaderOutcome, HeaderReason, HeaderRequestID}

// endToEndHeaders returns the header fields that are forwarded to the next hop. The values
// are shared with the argument.
func endToEndHeaders(in http.Header) http.Header {
	out := maps.Clone(in)
	for _, line := range in.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range reservedHeaders {
		out.Del(name)
	}
	return out
}

// requestDeadline returns the deadline that the request's header states, or the default one.
// It returns false if the header is malformed.
func (l Limits) requestDeadline(now time.Time, h http.Header) (time.Time, bool) {
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

// minTimeLeft is the least time before its deadline at which a request is sent to an
// upstream. It is the smallest value of the deadline header.
const minTimeLeft = time.Millisecond

func setDeadlineHeader(h http.Header, timeLeft time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(timeLeft.Milliseconds(), 10))
}

// isIdempotent reports whether a request with the method may be run more than once.
func isIdempotent(method string) bool { return method == http.MethodGet || method == http.MethodHead }
