package peer

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync"
	"time"
)

// callState is what the server keeps of a call in progress.
type callState struct {
	seq    uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// serverCodec implements rpc.ServerCodec for one connection: it bounds messages,
// calls in flight and the time of each transfer, and carries deadlines and
// cancellations, all of which net/rpc lacks.
type serverCodec struct {
	ctx     context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	reader  *messageReader
	decoder *gob.Decoder
	limits  Limits
	metrics *serverMetrics
	// slots is the cap of calls in flight, shared by the connections of one peer.
	slots chan struct{}

	writing sync.Mutex
	writer  *messageWriter

	mu       sync.Mutex
	calls    map[uint64]callState
	draining bool
	// fatal ends the connection at the next read.
	fatal error
	// current is the call whose arguments are read next.
	current callState
	// refusals are calls that were read but not run.
	refusals map[uint64]Kind
}

func newServerCodec(ctx context.Context, conn net.Conn, limits Limits, metrics *serverMetrics, slots chan struct{}) *serverCodec {
	ctx, cancel := context.WithCancel(ctx)
	c := &serverCodec{
		ctx:      ctx,
		cancel:   cancel,
		conn:     conn,
		reader:   newMessageReader(conn, limits.MessageBytes),
		limits:   limits,
		metrics:  metrics,
		slots:    slots,
		writer:   newMessageWriter(conn, limits.MessageBytes),
		calls:    make(map[uint64]callState),
		refusals: make(map[uint64]Kind),
	}
	c.decoder = gob.NewDecoder(c.reader)
	return c
}

// ReadRequestHeader waits for the next call.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	for {
		header, err := c.readHeader()
		if err != nil {
			return c.end(err)
		}
		if header.Cancel {
			c.cancelCall(header.Seq)
			continue
		}
		request.ServiceMethod = header.Method
		request.Seq = header.Seq
		c.begin(header)
		return nil
	}
}

// readHeader waits for a message and reads its header in bounded time.
func (c *serverCodec) readHeader() (requestHeader, error) {
	var header requestHeader
	if c.fatal != nil {
		return header, c.fatal
	}
	if err := c.setReadDeadline(c.limits.IdleTimeout); err != nil {
		return header, err
	}
	if err := c.reader.wait(); err != nil {
		return header, io.EOF
	}
	if err := c.setReadDeadline(c.limits.MessageTimeout); err != nil {
		return header, err
	}
	c.reader.next()
	err := c.decoder.Decode(&header)
	return header, err
}

// setReadDeadline fails once the connection is drained.
func (c *serverCodec) setReadDeadline(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained() {
		return io.EOF
	}
	return c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// drain refuses further calls and ends the connection once those in progress have
// been answered.
func (c *serverCodec) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.interruptIfDrained()
}

// drained reports whether nothing is left to answer before the stop; the mutex is held.
func (c *serverCodec) drained() bool {
	return c.draining && len(c.calls) == 0
}

// interruptIfDrained ends the wait for further calls; the mutex is held.
func (c *serverCodec) interruptIfDrained() {
	if c.drained() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// end classifies and counts an error of reading.
func (c *serverCodec) end(err error) error {
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	if !draining {
		c.cancel()
	}
	if draining || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return io.EOF
	}
	c.metrics.refused.WithLabelValues(string(readErrorKind(err))).Inc()
	return err
}

// readErrorKind classifies a failure to read a message.
func readErrorKind(err error) Kind {
	switch {
	case errors.Is(err, errTooLarge):
		return TooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Stalled
	default:
		return Garbage
	}
}

// begin records the call and its context.
func (c *serverCodec) begin(header requestHeader) {
	timeout := header.Timeout
	if timeout <= 0 {
		timeout = c.limits.CallTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = callState{seq: header.Seq, ctx: ctx, cancel: cancel}
	c.calls[header.Seq] = c.current
	if c.draining {
		c.refusals[header.Seq] = Closed
		return
	}
	select {
	case c.slots <- struct{}{}:
		c.metrics.inFlight.Inc()
	default:
		c.refusals[header.Seq] = Busy
	}
}

func (c *serverCodec) cancelCall(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[seq]; ok {
		call.cancel()
	}
}

// ReadRequestBody reads the arguments; nil discards them. The error of a refused
// call makes net/rpc answer without running the method.
func (c *serverCodec) ReadRequestBody(body any) error {
	if c.refusal(c.current.seq) != "" {
		body = nil
	}
	if err := c.decoder.Decode(body); err != nil {
		kind := readErrorKind(err)
		c.fatal = io.EOF
		return c.refuse(kind, err)
	}
	if kind := c.refusal(c.current.seq); kind != "" {
		return c.refuse(kind, nil)
	}
	if args, ok := body.(ContextArgs); ok {
		args.SetContext(c.current.ctx)
	}
	return nil
}

// refuse counts a call that will not run and returns the error for its caller.
func (c *serverCodec) refuse(kind Kind, err error) error {
	c.metrics.refused.WithLabelValues(string(kind)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, held := c.refusals[c.current.seq]; !held {
		c.releaseSlot()
	}
	c.refusals[c.current.seq] = kind
	return &Error{Kind: kind, Err: err}
}

// refusal returns the kind for which the call is refused, or "".
func (c *serverCodec) refusal(seq uint64) Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals[seq]
}

func (c *serverCodec) releaseSlot() {
	<-c.slots
	c.metrics.inFlight.Dec()
}

// WriteResponse sends the reply and frees the call's slot.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	kind := c.refusal(response.Seq)
	defer c.finish(response.Seq)
	c.writing.Lock()
	defer c.writing.Unlock()
	result := resultOK
	if response.Error != "" {
		result, body = string(Failed), emptyBody{}
	}
	if kind != "" {
		result = string(kind)
	}
	err := c.write(responseHeader{Seq: response.Seq, Error: response.Error, Kind: kind}, body)
	if err != nil && !errors.Is(err, errWrite) {
		kind = readErrorKind(err)
		result = string(kind)
		c.metrics.refused.WithLabelValues(result).Inc()
		err = c.write(responseHeader{Seq: response.Seq, Error: err.Error(), Kind: kind}, emptyBody{})
	}
	c.metrics.calls.WithLabelValues(result).Inc()
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *serverCodec) write(header responseHeader, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.limits.MessageTimeout)); err != nil {
		return errors.Join(errWrite, err)
	}
	return c.writer.write(header, body)
}

// finish forgets the answered call.
func (c *serverCodec) finish(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[seq]; ok {
		call.cancel()
		delete(c.calls, seq)
	}
	if _, refused := c.refusals[seq]; !refused {
		c.releaseSlot()
	}
	delete(c.refusals, seq)
	c.interruptIfDrained()
}

// Close ends the connection and the contexts of its calls.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.conn.Close()
}
