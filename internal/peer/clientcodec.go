package peer

import (
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"
)

// kindSeparator separates the error kind from the message in rpc.Response.Error. It
// carries the kind through net/rpc, which keeps only the text of an error.
const kindSeparator = "\x00"

// outgoingCall is passed to net/rpc as the argument of a call. It wraps the actual
// arguments. Only the run goroutine of the connection uses it after the call is queued.
type outgoingCall struct {
	args     any
	deadline time.Time
	pending  *pendingCall
	// seq is the call's sequence number, valid if written is set.
	seq     uint64
	written bool
	// cancelled means that the call is not to be sent if it has not been written yet.
	cancelled bool
}

// clientCodec implements rpc.ClientCodec for one connection. It limits the size and
// the transfer time of messages and sends deadlines and cancellations to the server.
type clientCodec struct {
	conn           net.Conn
	reader         *messageReader
	decoder        *gob.Decoder
	messageTimeout time.Duration
	// firstErr receives the first read or write error of the connection.
	firstErr chan error

	// current is the traffic of the call whose response is being read; nil if it is unknown.
	current *methodTraffic
	traffic *trafficMetrics

	mu     sync.Mutex
	writer *messageWriter
	// awaited holds the traffic of the calls without a response by sequence number.
	awaited map[uint64]*methodTraffic
}

func newClientCodec(conn net.Conn, limits Limits, traffic *trafficMetrics) *clientCodec {
	c := &clientCodec{
		conn:           conn,
		reader:         newMessageReader(conn, limits.MessageBytes),
		messageTimeout: limits.MessageTimeout,
		firstErr:       make(chan error, 1),
		writer:         newMessageWriter(conn, limits.MessageBytes),
		traffic:        traffic,
		awaited:        make(map[uint64]*methodTraffic),
	}
	c.decoder = gob.NewDecoder(c.reader)
	return c
}

// WriteRequest sends a call; body must be an *outgoingCall.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	outgoing := body.(*outgoingCall)
	header := requestHeader{
		Method:  request.ServiceMethod,
		Seq:     request.Seq,
		Timeout: time.Until(outgoing.deadline),
	}
	if header.Timeout <= 0 {
		return &Error{Kind: Timeout}
	}
	if outgoing.cancelled {
		return &Error{Kind: Cancelled}
	}
	outgoing.seq, outgoing.written = request.Seq, true
	err := c.write(header, outgoing.args, c.traffic.method(request.ServiceMethod))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errWrite):
		c.reportErr(err)
		return &Error{Kind: Unreachable, Err: err}
	default:
		return &Error{Kind: messageErrorKind(err), Err: err}
	}
}

// cancel tells the server that the caller has abandoned the call, or prevents the
// call from being sent if it has not been written yet.
func (c *clientCodec) cancel(outgoing *outgoingCall) {
	outgoing.cancelled = true
	if !outgoing.written {
		return
	}
	if err := c.write(requestHeader{Seq: outgoing.seq, Cancel: true}, nil, c.traffic.method(outgoing.pending.method)); err != nil {
		c.reportErr(err)
	}
}

func (c *clientCodec) write(header requestHeader, body any, traffic *methodTraffic) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.messageTimeout)); err != nil {
		return errors.Join(errWrite, err)
	}
	if !header.Cancel {
		c.awaited[header.Seq] = traffic // before the response can arrive
	}
	if err := c.writer.write(header, body); err != nil {
		delete(c.awaited, header.Seq)
		return err
	}
	traffic.out.Add(float64(c.writer.sent))
	if !header.Cancel {
		traffic.calls.Inc()
	}
	return nil
}

// takeAwaited returns the traffic of a call whose response has begun, or nil if the server
// answers a call that was not made.
func (c *clientCodec) takeAwaited(seq uint64) *methodTraffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	traffic := c.awaited[seq]
	delete(c.awaited, seq)
	return traffic
}

// reportErr sends the error to firstErr unless an earlier one is waiting there.
func (c *clientCodec) reportErr(err error) {
	select {
	case c.firstErr <- err:
	default:
	}
}

// ReadResponseHeader waits for the next response and reads its header.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.reader.awaitMessage()
	if err == nil {
		err = c.conn.SetReadDeadline(time.Now().Add(c.messageTimeout))
	}
	var header responseHeader
	if err == nil {
		c.reader.startMessage()
		err = c.decoder.Decode(&header)
	}
	if err != nil {
		c.reportErr(err)
		return err
	}
	response.Seq = header.Seq
	c.current = c.takeAwaited(header.Seq)
	response.Error = header.Error
	if header.Kind != "" {
		response.Error = string(header.Kind) + kindSeparator + header.Error
	}
	return nil
}

// ReadResponseBody reads a reply, or discards it if body is nil.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		c.reportErr(err)
		return err
	}
	if c.current != nil {
		c.current.in.Add(float64(c.reader.received()))
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// Close closes the connection.
func (c *clientCodec) Close() error {
	return c.conn.Close()
}

// convertRPCError converts an error returned by net/rpc to an *Error. net/rpc wraps
// an error of reading the body by its text only, hence the comparison of suffixes.
func convertRPCError(err error) error {
	var typed *Error
	var server rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typed):
		return err
	case errors.As(err, &server):
		return parseServerError(string(server))
	case errors.Is(err, errTooLarge), strings.HasSuffix(err.Error(), errTooLarge.Error()):
		return &Error{Kind: TooLarge, Err: err}
	default:
		return &Error{Kind: Unreachable, Err: err}
	}
}

// parseServerError converts the error text of a response to an *Error.
func parseServerError(text string) error {
	kind, message, found := strings.Cut(text, kindSeparator)
	if !found {
		return &Error{Kind: Failed, Err: errors.New(text)}
	}
	return &Error{Kind: remoteKind(kind, Failed), Err: errors.New(message)}
}
