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
	// maxAttempts bounds the attempts for one request.
	maxAttempts = 3
	// headBytes is the part of an answer that must arrive before the caller gets
	// any of it, so that an early failure can be retried.
	headBytes = 64 << 10
	// copyBytes is the size of one part of a streamed answer.
	copyBytes = 32 << 10
)

// heads holds buffers for the heads of answers.
var heads = sync.Pool{New: func() any { return new([headBytes]byte) }}

// failure is why an attempt did not bring an answer.
type failure struct {
	outcome admission.Outcome
	reason  admission.Reason
	// final failures are not retried.
	final bool
}

// serveIdempotent answers a request that may be run again.
func (c *call) serveIdempotent() {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(c.d.options.Now()))
	defer cancel()
	c.route.lane.fresh()
	var exclude []string
	last := failure{outcome: admission.NotRun}
	for n := 1; ; n++ {
		slot, reason := c.d.acquire(ctx, c.route, c.deadline, exclude)
		if reason != "" {
			c.refuse(last, reason)
			return
		}
		failed := c.attempt(ctx, slot)
		if failed == nil {
			return
		}
		if failed.outcome == admission.Unknown || last.outcome == admission.Unknown {
			failed.outcome = admission.Unknown
		}
		last = *failed
		if last.final || n == maxAttempts || ctx.Err() != nil || !c.d.mayRetry(c.route) {
			c.tell(last.outcome, c.reasonAt(ctx, last.reason))
			return
		}
		c.d.metrics.retry(last.reason)
		if last.outcome == admission.NotRun {
			exclude = append(exclude, slot.upstream)
		}
	}
}

// refuse tells the outcome when no further slot was to be had.
func (c *call) refuse(last failure, reason admission.Reason) {
	if last.reason != "" {
		reason = last.reason
	}
	c.tell(last.outcome, reason)
}

// reasonAt replaces the reason by the end of the request's time, if that was it.
func (c *call) reasonAt(ctx context.Context, reason admission.Reason) admission.Reason {
	switch {
	case c.r.Context().Err() != nil:
		return admission.ReasonCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.ReasonDeadline
	}
	return reason
}

// attempt runs the request at an upstream and passes the answer on. It returns
// nil when the caller has been answered, whole or visibly cut.
func (c *call) attempt(ctx context.Context, slot grant) *failure {
	began := c.d.options.Now()
	left := c.deadline.Sub(began)
	if left < minLeft {
		c.d.release(c.route, slot, 0, false)
		return &failure{outcome: admission.NotRun, reason: admission.ReasonDeadline, final: true}
	}
	out := c.outbound()
	resp, wrote, err := c.d.sender.send(ctx, c.route.addresses[slot.upstream], out, left)
	if err != nil {
		c.d.release(c.route, slot, 0, !wrote)
		if !wrote {
			return &failure{outcome: admission.NotRun, reason: admission.ReasonUpstreamUnreachable}
		}
		return &failure{outcome: admission.Unknown, reason: admission.ReasonUpstreamReset}
	}
	release := sync.OnceFunc(func() {
		resp.Body.Close()
		c.d.release(c.route, slot, c.d.options.Now().Sub(began), false)
	})
	if refusedBeforeRun(resp) && !crossed(resp, out) {
		resp.Body.Close()
		c.d.release(c.route, slot, 0, true)
		return &failure{outcome: admission.NotRun, reason: admission.ReasonUpstreamShed}
	}
	defer release()
	return c.passWhole(resp, out, release)
}

// passWhole passes the answer on if it is the request's own and its end can be
// told. The slot is released as soon as the answer has been read.
func (c *call) passWhole(resp *http.Response, out outbound, release func()) *failure {
	if crossed(resp, out) {
		return &failure{outcome: admission.Unknown, reason: admission.ReasonAnswerCrossed}
	}
	if c.r.Method != http.MethodHead && !framed(resp) {
		return &failure{outcome: admission.Unknown, reason: admission.ReasonAnswerUnframed, final: true}
	}
	buffer := heads.Get().(*[headBytes]byte)
	defer heads.Put(buffer)
	n, err := readHead(resp.Body, buffer[:])
	if err != nil && err != io.EOF {
		return &failure{outcome: admission.Unknown, reason: admission.ReasonAnswerTruncated}
	}
	if err == io.EOF {
		release()
	}
	c.pass(resp, buffer, n, err == io.EOF)
	return nil
}

// readHead fills head from the body. Its error is io.EOF when the body is
// complete within the head.
func readHead(body io.Reader, head []byte) (int, error) {
	n := 0
	for n < len(head) {
		read, err := body.Read(head[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *call) outbound() outbound {
	return outbound{
		method:    c.r.Method,
		path:      c.r.URL.RequestURI(),
		host:      c.r.Host,
		header:    forwarded(c.r.Header),
		requestID: c.d.requestID(),
	}
}

// pass sends the upstream's answer to the caller: the head in the buffer, and
// the rest unless it is whole. An answer that breaks off is cut for the caller
// too, so that it cannot be taken for whole.
func (c *call) pass(resp *http.Response, buffer *[headBytes]byte, n int, whole bool) {
	header := c.w.Header()
	maps.Copy(header, forwarded(resp.Header))
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.setOutcome(admission.Answered, admission.ReasonOK)
	c.limitWrite()
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(buffer[:n]); err != nil && c.r.Method != http.MethodHead {
		c.cut(admission.ReasonCancelled)
	}
	if !whole {
		c.stream(resp.Body, buffer[:])
	}
	_ = http.NewResponseController(c.w).Flush()
	c.count(admission.Answered, admission.ReasonOK)
}

// stream passes the rest of the body on through the buffer.
func (c *call) stream(body io.Reader, buffer []byte) {
	part := buffer[:copyBytes]
	for {
		n, err := body.Read(part)
		if n > 0 {
			c.limitWrite()
			if _, writeErr := c.w.Write(part[:n]); writeErr != nil {
				c.cut(admission.ReasonCancelled)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			c.cut(admission.ReasonAnswerTruncated)
		}
	}
}

// cut ends the caller's connection or stream without a proper end of the answer.
func (c *call) cut(reason admission.Reason) {
	c.count(admission.Unknown, reason)
	panic(http.ErrAbortHandler)
}
