package dispatch

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/oatlatch/oatlatch/internal/admission"
)

const (
	// maxAttempts bounds the attempts to run one request.
	maxAttempts = 3
	// prefixBytes is the size of the part of a response that must have arrived before any of
	// it is sent to the caller, unless the response is shorter. An earlier failure can be
	// retried.
	prefixBytes = 64 << 10
	// streamChunkBytes is the size in which the rest of a response is read and sent on.
	streamChunkBytes = 32 << 10
)

// prefixBuffers holds buffers for the first prefixBytes of responses.
var prefixBuffers = sync.Pool{New: func() any { return new([prefixBytes]byte) }}

// attemptFailure is the outcome of an attempt after which nothing was sent to the caller.
type attemptFailure struct {
	outcome admission.Outcome
	reason  admission.Reason
	// final is set if the failure must not be retried.
	final bool
}

// serveIdempotent serves a request that may be run more than once. Once the outcome of an
// attempt is unknown, the outcome of the request stays unknown unless a later attempt is
// answered. Before that, each upstream that did not run the request is excluded from
// further attempts.
func (c *callerRequest) serveIdempotent() {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(c.d.options.Now()))
	defer cancel()
	c.route.allocator.recordRequest()
	var exclude []string
	last := attemptFailure{outcome: admission.NotRun}
	for attempt := 1; ; attempt++ {
		slot, reason := c.d.acquireSlot(ctx, c.route, c.deadline, exclude)
		if reason != "" {
			c.respondNoSlot(last, reason)
			return
		}
		failure := c.attempt(ctx, slot)
		if failure == nil {
			return
		}
		if failure.outcome == admission.Unknown || last.outcome == admission.Unknown {
			failure.outcome = admission.Unknown
		}
		last = *failure
		if last.final || attempt == maxAttempts || ctx.Err() != nil || !c.d.takeRetry(c.route) {
			c.respond(last.outcome, c.contextReasonOr(ctx, last.reason))
			return
		}
		c.d.metrics.recordRetry(last.reason)
		if last.outcome == admission.NotRun {
			exclude = append(exclude, slot.upstream)
		}
	}
}

// respondNoSlot responds when the request got no slot. The reason of the previous attempt
// takes precedence.
func (c *callerRequest) respondNoSlot(last attemptFailure, reason admission.Reason) {
	if last.reason != "" {
		reason = last.reason
	}
	c.respond(last.outcome, reason)
}

// contextReasonOr returns ReasonCancelled if the caller has gone, ReasonDeadline if the
// deadline has passed, or else the given reason.
func (c *callerRequest) contextReasonOr(ctx context.Context, reason admission.Reason) admission.Reason {
	switch {
	case c.r.Context().Err() != nil:
		return admission.ReasonCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.ReasonDeadline
	}
	return reason
}

// attempt runs the request at the upstream of the slot and forwards the response. It
// returns nil once a response to the caller has been started; one that could not be
// completed is aborted.
func (c *callerRequest) attempt(ctx context.Context, slot grant) *attemptFailure {
	started := c.d.options.Now()
	timeLeft := c.deadline.Sub(started)
	if timeLeft < minTimeLeft {
		c.d.release(c.route, slot, 0, false)
		return &attemptFailure{outcome: admission.NotRun, reason: admission.ReasonDeadline, final: true}
	}
	out := c.upstreamRequest()
	resp, wrote, err := c.d.upstreamClient.sendIdempotent(ctx, c.route.addresses[slot.upstream], out, timeLeft)
	if err != nil {
		c.d.release(c.route, slot, 0, !wrote)
		if !wrote {
			return &attemptFailure{outcome: admission.NotRun, reason: admission.ReasonUpstreamUnreachable}
		}
		return &attemptFailure{outcome: admission.Unknown, reason: admission.ReasonUpstreamReset}
	}
	release := sync.OnceFunc(func() {
		resp.Body.Close()
		c.d.release(c.route, slot, c.d.options.Now().Sub(started), false)
	})
	if refusedBeforeRun(resp) && !isMismatched(resp, out) {
		resp.Body.Close()
		c.d.release(c.route, slot, 0, true)
		return &attemptFailure{outcome: admission.NotRun, reason: admission.ReasonUpstreamShed}
	}
	defer release()
	return c.forwardResponse(resp, out, release)
}

// forwardResponse forwards the response to the caller if it belongs to the request and its
// end can be recognized. A slot whose response fits into the buffer is released before the
// caller gets it.
func (c *callerRequest) forwardResponse(resp *http.Response, out upstreamRequest, release func()) *attemptFailure {
	if isMismatched(resp, out) {
		return &attemptFailure{outcome: admission.Unknown, reason: admission.ReasonAnswerCrossed}
	}
	if c.r.Method != http.MethodHead && !isFramed(resp) {
		return &attemptFailure{outcome: admission.Unknown, reason: admission.ReasonAnswerUnframed, final: true}
	}
	buffer := prefixBuffers.Get().(*[prefixBytes]byte)
	defer prefixBuffers.Put(buffer)
	n, err := readPrefix(resp.Body, buffer[:])
	if err != nil && err != io.EOF {
		return &attemptFailure{outcome: admission.Unknown, reason: admission.ReasonAnswerTruncated}
	}
	if err == io.EOF {
		release()
	}
	c.writeResponse(resp, buffer, n, err == io.EOF)
	return nil
}

// readPrefix fills prefix from the body. Its error is io.EOF if the body ended within the
// prefix.
func readPrefix(body io.Reader, prefix []byte) (int, error) {
	n := 0
	for n < len(prefix) {
		read, err := body.Read(prefix[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *callerRequest) upstreamRequest() upstreamRequest {
	return upstreamRequest{
		method:    c.r.Method,
		path:      c.r.URL.RequestURI(),
		host:      c.r.Host,
		header:    endToEndHeaders(c.r.Header),
		requestID: c.d.nextRequestID(),
	}
}

// writeResponse sends the upstream's response to the caller: the first n bytes of the buffer
// and, unless they are the complete body, the rest of it. If the rest cannot be read, the
// response to the caller is aborted, so that it cannot be mistaken for a complete one.
func (c *callerRequest) writeResponse(resp *http.Response, buffer *[prefixBytes]byte, n int, complete bool) {
	header := c.w.Header()
	maps.Copy(header, endToEndHeaders(resp.Header))
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.setOutcomeHeaders(admission.Answered, admission.ReasonOK)
	c.extendWriteDeadline()
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(buffer[:n]); err != nil && c.r.Method != http.MethodHead {
		c.abort(admission.ReasonCancelled)
	}
	if !complete {
		c.streamBody(resp.Body, buffer[:])
	}
	_ = http.NewResponseController(c.w).Flush()
	c.recordOutcome(admission.Answered, admission.ReasonOK)
}

// streamBody sends the rest of the body to the caller through the buffer.
func (c *callerRequest) streamBody(body io.Reader, buffer []byte) {
	chunk := buffer[:streamChunkBytes]
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			c.extendWriteDeadline()
			if _, writeErr := c.w.Write(chunk[:n]); writeErr != nil {
				c.abort(admission.ReasonCancelled)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			c.abort(admission.ReasonAnswerTruncated)
		}
	}
}

// abort closes the caller's connection or resets its stream before the response is
// complete. It does not return.
func (c *callerRequest) abort(reason admission.Reason) {
	c.recordOutcome(admission.Unknown, reason)
	panic(http.ErrAbortHandler)
}
