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

// callState is the state of a call in progress.
type callState struct {
	seq    uint64
	ctx    context.Context
	cancel context.CancelFunc
	// traffic counts the bytes of the call's method.
	traffic *methodTraffic
}

// serverCodec implements rpc.ServerCodec for one connection. It adds what net/rpc
// lacks: limits on message size, calls in flight and transfer time, and the deadlines
// and cancellations of calls.
type serverCodec struct {
	ctx     context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	reader  *messageReader
	decoder *gob.Decoder
	limits  Limits
	metrics *serverMetrics
	// methods are the methods that the connection serves.
	methods map[string]struct{}
	// slots is a semaphore that limits the calls in flight. All connections of a peer
	// share it.
	slots chan struct{}

	writeMu sync.Mutex
	writer  *messageWriter

	mu       sync.Mutex
	calls    map[uint64]callState
	draining bool
	// awaiting is set while the reader waits for the first byte of a message.
	awaiting bool
	// fatalErr, if set, is the result of the next read. It closes the connection after a
	// message that could not be decoded. Only the goroutine that reads requests uses it.
	fatalErr error
	// currentCall is the call whose header has been read last.
	currentCall callState
	// refusals holds the calls in progress that are answered without running their
	// methods. They hold no slot.
	refusals map[uint64]Kind
}

func newServerCodec(ctx context.Context, conn net.Conn, limits Limits, metrics *serverMetrics, methods map[string]struct{}, slots chan struct{}) *serverCodec {
	ctx, cancel := context.WithCancel(ctx)
	c := &serverCodec{
		ctx:      ctx,
		cancel:   cancel,
		conn:     conn,
		reader:   newMessageReader(conn, limits.MessageBytes),
		limits:   limits,
		metrics:  metrics,
		methods:  methods,
		slots:    slots,
		writer:   newMessageWriter(conn, limits.MessageBytes),
		calls:    make(map[uint64]callState),
		refusals: make(map[uint64]Kind),
	}
	c.decoder = gob.NewDecoder(c.reader)
	return c
}

// ReadRequestHeader waits for the next call and reads its header. It also processes
// the cancellations that arrive before the call.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	for {
		header, err := c.readHeader()
		if err != nil {
			return c.handleReadError(err)
		}
		if header.Cancel {
			c.cancelCall(header.Seq)
			continue
		}
		request.ServiceMethod = header.Method
		request.Seq = header.Seq
		c.beginCall(header)
		return nil
	}
}

// readHeader waits for a message and reads its header. It waits up to IdleTimeout from
// when no call is in progress. The whole message must arrive within MessageTimeout.
func (c *serverCodec) readHeader() (requestHeader, error) {
	var header requestHeader
	if c.fatalErr != nil {
		return header, c.fatalErr
	}
	if err := c.setReadDeadline(true); err != nil {
		return header, err
	}
	if err := c.reader.awaitMessage(); err != nil {
		return header, io.EOF
	}
	if err := c.setReadDeadline(false); err != nil {
		return header, err
	}
	c.reader.startMessage()
	err := c.decoder.Decode(&header)
	return header, err
}

// setReadDeadline sets the read deadline for awaiting a message or for reading it, or
// returns io.EOF if the connection is drained.
func (c *serverCodec) setReadDeadline(awaiting bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained() {
		return io.EOF
	}
	c.awaiting = awaiting
	switch {
	case !awaiting:
		return c.conn.SetReadDeadline(time.Now().Add(c.limits.MessageTimeout))
	case len(c.calls) > 0:
		return c.conn.SetReadDeadline(time.Time{}) // finishCall starts the idle timeout
	default:
		return c.conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
	}
}

// drain refuses further calls and closes the connection once the calls in progress
// have been answered.
func (c *serverCodec) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.interruptIfDrained()
}

// drained reports whether the codec is draining and no call is in progress. The caller
// must hold the mutex.
func (c *serverCodec) drained() bool {
	return c.draining && len(c.calls) == 0
}

// interruptIfDrained interrupts the wait for further calls, by a read deadline in the
// past, if the connection is drained. The caller must hold the mutex.
func (c *serverCodec) interruptIfDrained() {
	if c.drained() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// handleReadError handles a read error, after which net/rpc stops reading. It cancels the
// contexts of the calls, unless the connection is draining and they may finish. It
// counts the error unless the connection was closed or is draining.
func (c *serverCodec) handleReadError(err error) error {
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	if !draining {
		c.cancel()
	}
	if draining || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return io.EOF
	}
	c.metrics.refused.WithLabelValues(string(messageErrorKind(err))).Inc()
	return err
}

// messageErrorKind returns the kind of an error of reading or encoding a message.
func messageErrorKind(err error) Kind {
	switch {
	case errors.Is(err, errTooLarge):
		return TooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Stalled
	default:
		return Malformed
	}
}

// beginCall creates the context of a call and acquires a slot for it, or marks the call
// as refused.
func (c *serverCodec) beginCall(header requestHeader) {
	timeout := header.Timeout
	if timeout <= 0 {
		timeout = c.limits.CallTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentCall = callState{seq: header.Seq, ctx: ctx, cancel: cancel, traffic: c.trafficOf(header.Method)}
	c.currentCall.traffic.calls.Inc()
	c.calls[header.Seq] = c.currentCall
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
		call.traffic.in.Add(float64(c.reader.received()))
	}
}

// trafficOf returns the traffic of a method.
func (c *serverCodec) trafficOf(method string) *methodTraffic {
	if _, ok := c.methods[method]; !ok {
		method = unknownMethod
	}
	return c.metrics.traffic.method(method)
}

// ReadRequestBody reads the arguments, or discards them if body is nil or the call is
// refused. If it returns an error, net/rpc sends that error as the response instead of
// running the method.
func (c *serverCodec) ReadRequestBody(body any) error {
	if c.refusalKind(c.currentCall.seq) != "" {
		body = nil
	}
	if err := c.decoder.Decode(body); err != nil {
		kind := messageErrorKind(err)
		c.fatalErr = io.EOF
		return c.refuseCall(kind, err)
	}
	c.currentCall.traffic.in.Add(float64(c.reader.received()))
	if kind := c.refusalKind(c.currentCall.seq); kind != "" {
		return c.refuseCall(kind, nil)
	}
	if args, ok := body.(ContextArgs); ok {
		args.SetContext(c.currentCall.ctx)
	}
	return nil
}

// refuseCall marks the current call as refused, frees its slot if it holds one, and
// returns the error for the response.
func (c *serverCodec) refuseCall(kind Kind, err error) error {
	c.metrics.refused.WithLabelValues(string(kind)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, refused := c.refusals[c.currentCall.seq]; !refused {
		c.releaseSlot()
	}
	c.refusals[c.currentCall.seq] = kind
	return &Error{Kind: kind, Err: err}
}

// refusalKind returns the reason why the call is refused, or "" if it is not.
func (c *serverCodec) refusalKind(seq uint64) Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals[seq]
}

func (c *serverCodec) releaseSlot() {
	<-c.slots
	c.metrics.inFlight.Dec()
}

// WriteResponse sends the response and frees the call's slot. If the reply is too large
// or cannot be encoded, it sends an error instead.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	kind := c.refusalKind(response.Seq)
	defer c.finishCall(response.Seq)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	result := resultOK
	if response.Error != "" {
		result, body = string(Failed), emptyBody{}
	}
	if kind != "" {
		result = string(kind)
	}
	err := c.write(responseHeader{Seq: response.Seq, Error: response.Error, Kind: kind}, body)
	if err != nil && !errors.Is(err, errWrite) {
		kind = messageErrorKind(err)
		result = string(kind)
		c.metrics.refused.WithLabelValues(result).Inc()
		err = c.write(responseHeader{Seq: response.Seq, Error: err.Error(), Kind: kind}, emptyBody{})
	}
	c.metrics.calls.WithLabelValues(result).Inc()
	if err != nil {
		_ = c.conn.Close()
		return err
	}
	c.countResponse(response.Seq)
	return nil
}

// countResponse counts the bytes of the response that was written last. writeMu must be held.
func (c *serverCodec) countResponse(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[seq]; ok {
		call.traffic.out.Add(float64(c.writer.sent))
	}
}

func (c *serverCodec) write(header responseHeader, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.limits.MessageTimeout)); err != nil {
		return errors.Join(errWrite, err)
	}
	return c.writer.write(header, body)
}

// finishCall removes an answered call and frees its slot if it holds one.
func (c *serverCodec) finishCall(seq uint64) {
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
	if c.awaiting && len(c.calls) == 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout)) // fails only if the connection is closed
	}
	c.interruptIfDrained()
}

// Close closes the connection and cancels the contexts of its calls.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.conn.Close()
}
