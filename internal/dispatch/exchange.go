package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// shedStatus is the status by which an upstream says that it refused a request before running it.
const shedStatus = http.StatusTooManyRequests

// exchanger sends requests to upstreams.
type exchanger struct {
	// pooled reuses connections and serves idempotent requests only.
	pooled *http.Transport
	// single opens a connection for each request, so that nothing is sent twice.
	single *http.Transport
}

func newExchanger(limits Limits) *exchanger {
	dialer := &net.Dialer{Timeout: limits.DialTimeout}
	pooled := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxResponseHeaderBytes: int64(limits.MaxHeaderBytes),
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleUpstreamTimeout,
		DisableCompression:     true,
	}
	single := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialTracked(ctx, dialer, network, address)
		},
		MaxResponseHeaderBytes: int64(limits.MaxHeaderBytes),
		DisableKeepAlives:      true,
		DisableCompression:     true,
	}
	return &exchanger{pooled: pooled, single: single}
}

// Limits of idle connections to upstreams.
const (
	maxIdlePerUpstream  = 16
	idleUpstreamTimeout = 30 * time.Second
)

func dialTracked(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	tracked, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return nil, errors.New("dispatch: dial without an attempt: use exchanger.sendOnce")
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return tracked.track(conn), nil
}

// outbound is a request as it goes to an upstream.
type outbound struct {
	method    string
	path      string
	host      string
	header    http.Header
	body      []byte
	requestID string
}

// sendOnce sends a non-idempotent request on a connection of its own. wrote says
// whether any byte of it may have reached the upstream.
func (e *exchanger) sendOnce(ctx context.Context, to netip.AddrPort, out outbound, left time.Duration) (resp *http.Response, wrote bool, err error) {
	tracked := &attempt{}
	ctx = context.WithValue(ctx, attemptKey{}, tracked)
	request, err := out.build(ctx, to, left)
	if err != nil {
		return nil, false, err
	}
	resp, err = e.single.RoundTrip(request)
	return resp, tracked.end(), err
}

// send sends an idempotent request, on a reused connection if there is one.
func (e *exchanger) send(ctx context.Context, to netip.AddrPort, out outbound, left time.Duration) (*http.Response, error) {
	request, err := out.build(ctx, to, left)
	if err != nil {
		return nil, err
	}
	return e.pooled.RoundTrip(request)
}

func (e *exchanger) close() {
	e.pooled.CloseIdleConnections()
	e.single.CloseIdleConnections()
}

// build makes the request. Its body cannot be rewound, so that the transport
// has no way to send it again by itself, whatever the method.
func (o outbound) build(ctx context.Context, to netip.AddrPort, left time.Duration) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(o.body))
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+to.String()+o.path, body)
	if err != nil {
		return nil, fmt.Errorf("dispatch: the request's path cannot be sent on: correct it: %w", err)
	}
	request.Host = o.host
	request.Header = o.header.Clone()
	request.ContentLength = int64(len(o.body))
	request.Header.Set(HeaderRequestID, o.requestID)
	setDeadline(request.Header, left)
	return request, nil
}

// refusedBeforeRun says whether the upstream stated that it did not run the request.
func refusedBeforeRun(resp *http.Response) bool {
	return resp.StatusCode == shedStatus || resp.Header.Get(HeaderOutcome) == string(admission.NotRun)
}

// crossed says whether the upstream names another request as the one it answers.
func crossed(resp *http.Response, out outbound) bool {
	echo := resp.Header.Get(HeaderRequestID)
	return echo != "" && echo != out.requestID
}

// framed says whether the end of the answer's body can be told from a cut.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || resp.ProtoMajor >= 2
}

// readWhole reads an answer of at most limit bytes.
func readWhole(resp *http.Response, limit int64) ([]byte, admission.Reason) {
	if !framed(resp) {
		return nil, admission.ReasonAnswerUnframed
	}
	if resp.ContentLength > limit {
		return nil, admission.ReasonAnswerTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if int64(len(body)) > limit {
		return nil, admission.ReasonAnswerTooLarge
	}
	if err != nil {
		return nil, admission.ReasonAnswerTruncated
	}
	return body, ""
}
