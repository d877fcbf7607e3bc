package dispatch

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// serve answers one request of a caller.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request) {
	started := d.options.Now()
	d.metrics.begin(started)
	defer d.metrics.end()
	c := &call{d: d, w: w, r: r, started: started}
	routes := d.routes.Load()
	if routes == nil {
		c.tell(admission.NotRun, admission.ReasonNoConfiguration)
		return
	}
	c.route = routes.byHost[hostName(r.Host)]
	if c.route == nil {
		c.tell(admission.NotRun, admission.ReasonUnknownService)
		return
	}
	deadline, ok := d.limits.deadline(started, r.Header)
	c.deadline = deadline
	switch {
	case idempotent(r.Method) && !ok:
		c.tell(admission.NotRun, admission.ReasonBadDeadline)
	case idempotent(r.Method):
		c.serveIdempotent()
	default:
		c.serveOnce(ok)
	}
}

// call is one request of a caller while it is served.
type call struct {
	d        *Dispatcher
	w        http.ResponseWriter
	r        *http.Request
	route    *route
	started  time.Time
	deadline time.Time
}

// serveOnce answers a non-idempotent request.
func (c *call) serveOnce(deadlineOK bool) {
	raw := c.r.Header.Get(HeaderTicket)
	if raw == "" {
		c.requireTicket()
		return
	}
	t, err := c.d.verify(raw)
	var refusal *ticket.Error
	if errors.As(err, &refusal) && refusal.Kind != ticket.UnknownKey {
		c.tell(admission.NotRun, admission.ReasonTicketForged)
		return
	}
	if !deadlineOK {
		c.finish(c.d.burn(c.r.Context(), raw, t, admission.ReasonBadDeadline))
		return
	}
	body, reason := c.readBody()
	if reason != "" {
		c.finish(c.d.burn(c.r.Context(), raw, t, reason))
		return
	}
	c.finish(c.d.resolve(c.r.Context(), raw, t, job{
		service:  c.route.service.ID,
		method:   c.r.Method,
		path:     c.r.URL.RequestURI(),
		host:     c.r.Host,
		header:   forwarded(c.r.Header),
		body:     body,
		deadline: c.deadline,
	}))
}

// requireTicket refuses a request without a ticket, and gives one out.
func (c *call) requireTicket() {
	if c.d.isDraining() {
		c.tell(admission.NotRun, admission.ReasonDraining)
		return
	}
	c.tell(admission.NotRun, admission.ReasonTicketRequired)
}

// readBody reads the whole body within the limits of size and time.
func (c *call) readBody() ([]byte, admission.Reason) {
	limit := c.d.limits.MaxBodyBytes
	if c.r.ContentLength > limit {
		return nil, admission.ReasonBodyTooLarge
	}
	control := http.NewResponseController(c.w)
	left := min(c.d.limits.BodyReadTimeout, c.deadline.Sub(c.started))
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, admission.ReasonBodyTooLarge
	}
	if err != nil {
		return nil, admission.ReasonBodyUnreadable
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, ""
}

// tell answers with an outcome of the host's own.
func (c *call) tell(outcome admission.Outcome, reason admission.Reason) {
	c.finish(ticket.Result{Outcome: outcome, Reason: reason})
}

// finish sends a result with a fresh ticket.
func (c *call) finish(result ticket.Result) {
	header := c.w.Header()
	for _, f := range result.Fields {
		header[f.Name] = f.Values
	}
	body := result.Body
	status := result.Status
	if status == 0 {
		status = statusOf(result.Reason)
		body = []byte(string(result.Outcome) + ": " + string(result.Reason) + "\n")
		header.Set("Content-Type", "text/plain; charset=utf-8")
		c.setRetryAfter(result.Reason)
	}
	c.setOutcome(result.Outcome, result.Reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.limitWrite()
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
	_ = http.NewResponseController(c.w).Flush()
	c.count(result.Outcome, result.Reason)
}

// setOutcome sets the headers that every answer carries.
func (c *call) setOutcome(outcome admission.Outcome, reason admission.Reason) {
	header := c.w.Header()
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderReason, string(reason))
	if c.d.isDraining() {
		header.Set("Connection", "close")
	}
	if c.route == nil {
		return
	}
	if fresh := c.d.issue(c.route.service.ID); fresh != "" {
		header.Set(HeaderTicket, fresh)
	}
}

func (c *call) setRetryAfter(reason admission.Reason) {
	if after := reason.RetryAfter(); after > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int(after/time.Second)))
	}
}

// limitWrite bounds how long the caller may take to accept the next part.
func (c *call) limitWrite() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.d.limits.WriteTimeout))
}

func (c *call) count(outcome admission.Outcome, reason admission.Reason) {
	c.d.metrics.outcome(outcome, reason, c.d.options.Now().Sub(c.started).Seconds())
}

// hostName returns the host of a Host header without its port, in lower case.
func hostName(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}
