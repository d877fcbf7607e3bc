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

// serveCaller serves one request of a caller.
func (d *Dispatcher) serveCaller(w http.ResponseWriter, r *http.Request) {
	started := d.options.Now()
	d.metrics.requestStarted(started)
	defer d.metrics.requestFinished()
	c := &callerRequest{d: d, w: w, r: r, started: started}
	routes := d.routes.Load()
	if routes == nil {
		c.respond(admission.NotRun, admission.ReasonNoConfiguration)
		return
	}
	c.route = routes.byHost[hostName(r.Host)]
	if c.route == nil {
		c.respond(admission.NotRun, admission.ReasonUnknownService)
		return
	}
	deadline, ok := d.limits.requestDeadline(started, r.Header)
	c.deadline = deadline
	switch {
	case isIdempotent(r.Method) && !ok:
		c.respond(admission.NotRun, admission.ReasonBadDeadline)
	case isIdempotent(r.Method):
		c.serveIdempotent()
	default:
		c.serveTicketed(ok)
	}
}

// callerRequest is a request of a caller that is being served.
type callerRequest struct {
	d        *Dispatcher
	w        http.ResponseWriter
	r        *http.Request
	route    *route
	started  time.Time
	deadline time.Time
}

// serveTicketed serves a non-idempotent request, which must carry a ticket. A bad deadline
// or body burns the ticket, so that a delayed repeat of the request cannot run.
func (c *callerRequest) serveTicketed(deadlineOK bool) {
	encoded := c.r.Header.Get(HeaderTicket)
	if encoded == "" {
		c.requireTicket()
		return
	}
	t, err := c.d.verifyTicket(encoded)
	var ticketErr *ticket.Error
	if errors.As(err, &ticketErr) && ticketErr.Kind != ticket.UnknownKey {
		c.respond(admission.NotRun, admission.ReasonTicketForged)
		return
	}
	if !deadlineOK {
		c.writeResult(c.d.burnAtHolder(c.r.Context(), encoded, t, admission.ReasonBadDeadline))
		return
	}
	body, reason := c.readBody()
	if reason != "" {
		c.writeResult(c.d.burnAtHolder(c.r.Context(), encoded, t, reason))
		return
	}
	c.writeResult(c.d.runAtHolder(c.r.Context(), encoded, t, ticketedRequest{
		service:  c.route.service.ID,
		method:   c.r.Method,
		path:     c.r.URL.RequestURI(),
		host:     c.r.Host,
		header:   endToEndHeaders(c.r.Header),
		body:     body,
		deadline: c.deadline,
	}))
}

// requireTicket refuses a request that carries no ticket. The response carries one, unless
// the host is draining.
func (c *callerRequest) requireTicket() {
	if c.d.isDraining() {
		c.respond(admission.NotRun, admission.ReasonDraining)
		return
	}
	c.respond(admission.NotRun, admission.ReasonTicketRequired)
}

// readBody reads the whole body of the request within the limits on size and time.
func (c *callerRequest) readBody() ([]byte, admission.Reason) {
	limit := c.d.limits.MaxBodyBytes
	if c.r.ContentLength > limit {
		return nil, admission.ReasonBodyTooLarge
	}
	controller := http.NewResponseController(c.w)
	timeLeft := min(c.d.limits.BodyReadTimeout, c.deadline.Sub(c.started))
	_ = controller.SetReadDeadline(time.Now().Add(timeLeft))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, admission.ReasonBodyTooLarge
	}
	if err != nil {
		return nil, admission.ReasonBodyUnreadable
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, ""
}

// respond sends an outcome that did not come from an upstream.
func (c *callerRequest) respond(outcome admission.Outcome, reason admission.Reason) {
	c.writeResult(ticket.Result{Outcome: outcome, Reason: reason})
}

// writeResult sends a result to the caller: the upstream's response, or a line of text if
// there is none.
func (c *callerRequest) writeResult(result ticket.Result) {
	header := c.w.Header()
	for _, f := range result.Fields {
		header[f.Name] = f.Values
	}
	body := result.Body
	status := result.Status
	if status == 0 {
		status = httpStatus(result.Reason)
		body = []byte(string(result.Outcome) + ": " + string(result.Reason) + "\n")
		header.Set("Content-Type", "text/plain; charset=utf-8")
		c.setRetryAfter(result.Reason)
	}
	c.setOutcomeHeaders(result.Outcome, result.Reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.extendWriteDeadline()
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
	_ = http.NewResponseController(c.w).Flush()
	c.recordOutcome(result.Outcome, result.Reason)
}

// setOutcomeHeaders sets the headers that every response carries: the outcome, the reason
// and, if the service is known, a new ticket. While draining it asks the caller to close
// the connection.
func (c *callerRequest) setOutcomeHeaders(outcome admission.Outcome, reason admission.Reason) {
	header := c.w.Header()
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderReason, string(reason))
	if c.d.isDraining() {
		header.Set("Connection", "close")
	}
	if c.route == nil {
		return
	}
	if newTicket := c.d.issueTicket(c.route.service.ID); newTicket != "" {
		header.Set(HeaderTicket, newTicket)
	}
}

func (c *callerRequest) setRetryAfter(reason admission.Reason) {
	if after := reason.RetryAfter(); after > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int(after/time.Second)))
	}
}

// extendWriteDeadline restarts the time that the caller may take to accept the next part of
// the response.
func (c *callerRequest) extendWriteDeadline() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.d.limits.WriteTimeout))
}

func (c *callerRequest) recordOutcome(outcome admission.Outcome, reason admission.Reason) {
	c.d.metrics.recordOutcome(outcome, reason, c.d.options.Now().Sub(c.started).Seconds())
}

// hostName returns the name in a Host header in lower case and without the port.
func hostName(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}
