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

// kindSeparator joins the kind of a server's refusal and its message in
// rpc.Response.Error.
const kindSeparator = "\x00"

// outgoing is the argument of a call on its way through net/rpc.
type outgoing struct {
	args     any
	deadline time.Time
	pending  *pendingCall
	// seq is valid once the call has been written.
	seq     uint64
	written bool
	// cancelled calls that have not been written are dropped.
	cancelled bool
}

// clientCodec implements rpc.ClientCodec for one connection with bounded messages
// and writes, deadlines and cancellations.
type clientCodec struct {
	conn    net.Conn
	reader  *messageReader
	decoder *gob.Decoder
	timeout time.Duration
	// failed receives the first error of reading or writing.
	failed chan error

	mu     sync.Mutex
	writer *messageWriter
}

func newClientCodec(conn net.Conn, limits Limits) *clientCodec {
	c := &clientCodec{
		conn:    conn,
		reader:  newMessageReader(conn, limits.MessageBytes),
		timeout: limits.MessageTimeout,
		failed:  make(chan error, 1),
		writer:  newMessageWriter(conn, limits.MessageBytes),
	}
	c.decoder = gob.NewDecoder(c.reader)
	return c
}

// WriteRequest sends a call whose body is *outgoing.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	out := body.(*outgoing)
	header := requestHeader{
		Method:  request.ServiceMethod,
		Seq:     request.Seq,
		Timeout: time.Until(out.deadline),
	}
	if header.Timeout <= 0 {
		return &Error{Kind: Timeout}
	}
	if out.cancelled {
		return &Error{Kind: Cancelled}
	}
	out.seq, out.written = request.Seq, true
	err := c.write(header, out.args)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errWrite):
		c.fail(err)
		return &Error{Kind: Unreachable, Err: err}
	default:
		return &Error{Kind: readErrorKind(err), Err: err}
	}
}

// cancel tells the server that the caller gave up on a call.
func (c *clientCodec) cancel(out *outgoing) {
	out.cancelled = true
	if !out.written {
		return
	}
	if err := c.write(requestHeader{Seq: out.seq, Cancel: true}, nil); err != nil {
		c.fail(err)
	}
}

func (c *clientCodec) write(header requestHeader, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return errors.Join(errWrite, err)
	}
	return c.writer.write(header, body)
}

// fail reports the first error.
func (c *clientCodec) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

// ReadResponseHeader waits for the next answer.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.reader.wait()
	if err == nil {
		err = c.conn.SetReadDeadline(time.Now().Add(c.timeout))
	}
	var header responseHeader
	if err == nil {
		c.reader.next()
		err = c.decoder.Decode(&header)
	}
	if err != nil {
		c.fail(err)
		return err
	}
	response.Seq = header.Seq
	response.Error = header.Error
	if header.Kind != "" {
		response.Error = string(header.Kind) + kindSeparator + header.Error
	}
	return nil
}

// ReadResponseBody reads a reply; nil discards it.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		c.fail(err)
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// Close closes the connection.
func (c *clientCodec) Close() error {
	return c.conn.Close()
}

// callError converts an error of net/rpc.
func callError(err error) error {
	var typed *Error
	var server rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typed):
		return err
	case errors.As(err, &server):
		return serverError(string(server))
	case errors.Is(err, errTooLarge), strings.HasSuffix(err.Error(), errTooLarge.Error()):
		return &Error{Kind: TooLarge, Err: err}
	default:
		return &Error{Kind: Unreachable, Err: err}
	}
}

// serverError converts the error text of an answer.
func serverError(text string) error {
	kind, message, found := strings.Cut(text, kindSeparator)
	if !found {
		return &Error{Kind: Failed, Err: errors.New(text)}
	}
	return &Error{Kind: Kind(kind), Err: errors.New(message)}
}
