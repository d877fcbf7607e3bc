package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// shedStatus is the status with which an upstream refuses a request without running it.
const shedStatus = http.StatusTooManyRequests

// concurrentWriteBytes is the size from which a body is written while the response is read,
// because an upstream may respond before it has read the whole body.
const concurrentWriteBytes = 16 << 10

// upstreamClient sends requests to upstreams over HTTP/1.1. It manages its connections
// itself instead of using an http.Transport, which repeats some requests on its own, such
// as one with an Idempotency-Key whose reused connection was closed.
type upstreamClient struct {
	dialer         net.Dialer
	maxHeaderBytes int
	pool           *connPool
}

func newUpstreamClient(limits Limits, now func() time.Time) *upstreamClient {
	return &upstreamClient{
		dialer:         net.Dialer{Timeout: limits.DialTimeout},
		maxHeaderBytes: limits.MaxHeaderBytes,
		pool:           newConnPool(now),
	}
}

// upstreamRequest is a request in the form in which it is sent to an upstream.
type upstreamRequest struct {
	method    string
	path      string
	host      string
	header    http.Header
	body      []byte
	requestID string
}

// sendNonIdempotent sends a non-idempotent request on a connection that carries no other
// request, before or after. After an error, wrote reports whether any byte of the request
// may have reached the upstream; none is written after the return.
func (c *upstreamClient) sendNonIdempotent(ctx context.Context, to netip.AddrPort, out upstreamRequest, timeLeft time.Duration) (resp *http.Response, wrote bool, err error) {
	request, err := out.httpRequest(ctx, to, timeLeft)
	if err != nil {
		return nil, false, err
	}
	request.Close = true
	conn := c.pool.takeUnused(to)
	if conn == nil {
		if conn, err = c.dial(ctx, to); err != nil {
			return nil, false, err
		}
	}
	return c.roundTrip(ctx, to, conn, request, out.body)
}

// dialUnused opens a connection for the next non-idempotent request, unless the pool has
// one.
func (c *upstreamClient) dialUnused(to netip.AddrPort) {
	if c.pool.hasUnused(to) {
		return
	}
	if conn, err := c.dial(context.Background(), to); err == nil {
		c.pool.putUnused(to, conn)
	}
}

// sendIdempotent sends an idempotent request, on an idle connection if there is one.
// wrote is as for sendNonIdempotent.
func (c *upstreamClient) sendIdempotent(ctx context.Context, to netip.AddrPort, out upstreamRequest, timeLeft time.Duration) (resp *http.Response, wrote bool, err error) {
	request, err := out.httpRequest(ctx, to, timeLeft)
	if err != nil {
		return nil, false, err
	}
	conn := c.pool.takeIdle(to)
	if conn == nil {
		if conn, err = c.dial(ctx, to); err != nil {
			return nil, false, err
		}
	}
	return c.roundTrip(ctx, to, conn, request, nil)
}

func (c *upstreamClient) dial(ctx context.Context, to netip.AddrPort) (*upstreamConn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(conn), nil
}

// roundTrip writes the request once and reads the header of the response. Closing the
// body of the response returns the connection to the pool, or closes it if it cannot be
// reused. The connection is also closed when ctx ends.
func (c *upstreamClient) roundTrip(ctx context.Context, to netip.AddrPort, conn *upstreamConn, request *http.Request, body []byte) (resp *http.Response, wrote bool, err error) {
	conn.wrote, conn.headerLimited, conn.headerBytesLeft = false, true, c.maxHeaderBytes
	stopContextWatch := context.AfterFunc(ctx, func() { conn.Close() })
	written := make(chan error, 1)
	if len(body) < concurrentWriteBytes {
		written <- writeRequest(conn, request)
	} else {
		go func() { written <- writeRequest(conn, request) }()
	}
	resp, err = readResponse(conn, request)
	if err != nil {
		conn.Close()
		<-written
		stopContextWatch()
		return nil, conn.wrote, err
	}
	conn.headerLimited = false
	resp.Body = &responseBody{ReadCloser: resp.Body, onClose: func(reachedEOF bool) {
		reusable := stopContextWatch() && reachedEOF && !resp.Close && !request.Close && conn.reader.Buffered() == 0
		if !reusable {
			conn.Close()
		}
		if <-written == nil && reusable {
			c.pool.putIdle(to, conn)
		} else if reusable {
			conn.Close()
		}
	}}
	return resp, true, nil
}

func writeRequest(conn *upstreamConn, request *http.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

// readResponse reads the header of the final response and skips interim responses.
func readResponse(conn *upstreamConn, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("dispatch: the upstream switched protocols: it must respond in HTTP")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *upstreamClient) close() { c.pool.close() }

// httpRequest returns the request for one attempt. An empty User-Agent keeps net/http from
// adding its own.
func (o upstreamRequest) httpRequest(ctx context.Context, to netip.AddrPort, timeLeft time.Duration) (*http.Request, error) {
	var body io.Reader
	if len(o.body) > 0 {
		body = bytes.NewReader(o.body)
	}
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+to.String()+o.path, body)
	if err != nil {
		return nil, fmt.Errorf("dispatch: the path of the request cannot be forwarded: correct it: %w", err)
	}
	request.Host = o.host
	request.Header = maps.Clone(o.header)
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = []string{""}
	}
	request.Header[HeaderRequestID] = []string{o.requestID}
	setDeadlineHeader(request.Header, timeLeft)
	return request, nil
}

// refusedBeforeRun reports whether the upstream stated that it did not run the request.
func refusedBeforeRun(resp *http.Response) bool {
	return resp.StatusCode == shedStatus || resp.Header.Get(HeaderOutcome) == string(admission.NotRun)
}

// isMismatched reports whether the response carries the identifier of another request.
func isMismatched(resp *http.Response, out upstreamRequest) bool {
	echo := resp.Header.Get(HeaderRequestID)
	return echo != "" && echo != out.requestID
}

// isFramed reports whether the response states its length or is chunked. Otherwise the end
// of the body cannot be told from a connection that broke.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// readFullBody reads the body of a response, of at most limit bytes.
func readFullBody(resp *http.Response, limit int64) ([]byte, admission.Reason) {
	if !isFramed(resp) {
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
