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

// shedStatus is the status by which an upstream says that it refused a request before running it.
const shedStatus = http.StatusTooManyRequests

// asideBytes is the size from which a body is written beside reading the answer,
// because an upstream may answer before it has read all of it.
const asideBytes = 16 << 10

// exchanger sends requests to upstreams. It works on connections of its own
// instead of an http.Transport, which sends some requests again by itself.
type exchanger struct {
	dialer         net.Dialer
	maxHeaderBytes int
	pool           *connPool
}

func newExchanger(limits Limits, now func() time.Time) *exchanger {
	return &exchanger{
		dialer:         net.Dialer{Timeout: limits.DialTimeout},
		maxHeaderBytes: limits.MaxHeaderBytes,
		pool:           newConnPool(now),
	}
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

// sendOnce sends a non-idempotent request on a connection that has carried no
// other one and will carry no other one. wrote says whether any byte of it may have reached the upstream; none is written after
// the return.
func (e *exchanger) sendOnce(ctx context.Context, to netip.AddrPort, out outbound, left time.Duration) (resp *http.Response, wrote bool, err error) {
	request, err := out.build(ctx, to, left)
	if err != nil {
		return nil, false, err
	}
	request.Close = true
	conn := e.pool.takeUnused(to)
	if conn == nil {
		if conn, err = e.dial(ctx, to); err != nil {
			return nil, false, err
		}
	}
	return e.exchange(ctx, to, conn, request, out.body)
}

// prepare opens a connection for the next non-idempotent request.
func (e *exchanger) prepare(to netip.AddrPort) {
	if e.pool.hasUnused(to) {
		return
	}
	if conn, err := e.dial(context.Background(), to); err == nil {
		e.pool.putUnused(to, conn)
	}
}

// send sends an idempotent request, on an idle connection if there is one.
// wrote is as for sendOnce.
func (e *exchanger) send(ctx context.Context, to netip.AddrPort, out outbound, left time.Duration) (resp *http.Response, wrote bool, err error) {
	request, err := out.build(ctx, to, left)
	if err != nil {
		return nil, false, err
	}
	conn := e.pool.take(to)
	if conn == nil {
		if conn, err = e.dial(ctx, to); err != nil {
			return nil, false, err
		}
	}
	return e.exchange(ctx, to, conn, request, nil)
}

func (e *exchanger) dial(ctx context.Context, to netip.AddrPort) (*upstreamConn, error) {
	conn, err := e.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(conn), nil
}

// exchange writes the request once and reads the header of the answer. Closing
// the answer's body ends the exchange; the end of ctx closes the connection.
func (e *exchanger) exchange(ctx context.Context, to netip.AddrPort, conn *upstreamConn, request *http.Request, body []byte) (resp *http.Response, wrote bool, err error) {
	conn.wrote, conn.limited, conn.headerLeft = false, true, e.maxHeaderBytes
	release := context.AfterFunc(ctx, func() { conn.Close() })
	written := make(chan error, 1)
	if len(body) < asideBytes {
		written <- writeRequest(conn, request)
	} else {
		go func() { written <- writeRequest(conn, request) }()
	}
	resp, err = readAnswer(conn, request)
	if err != nil {
		conn.Close()
		<-written
		release()
		return nil, conn.wrote, err
	}
	conn.limited = false
	resp.Body = &answerBody{ReadCloser: resp.Body, end: func(ended bool) {
		reusable := release() && ended && !resp.Close && !request.Close && conn.reader.Buffered() == 0
		if !reusable {
			conn.Close()
		}
		if <-written == nil && reusable {
			e.pool.put(to, conn)
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

// readAnswer reads the header of the final answer, past interim ones.
func readAnswer(conn *upstreamConn, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("dispatch: the upstream switched protocols: it must answer in HTTP")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (e *exchanger) close() { e.pool.close() }

// build makes the request for one exchange.
func (o outbound) build(ctx context.Context, to netip.AddrPort, left time.Duration) (*http.Request, error) {
	var body io.Reader
	if len(o.body) > 0 {
		body = bytes.NewReader(o.body)
	}
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+to.String()+o.path, body)
	if err != nil {
		return nil, fmt.Errorf("dispatch: the request's path cannot be sent on: correct it: %w", err)
	}
	request.Host = o.host
	request.Header = maps.Clone(o.header)
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = []string{""}
	}
	request.Header[HeaderRequestID] = []string{o.requestID}
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
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
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
