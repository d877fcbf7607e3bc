package peer

import (
	"bufio"
	"errors"
	"io"
)

// errTooLarge is returned for a message that exceeds Limits.MessageBytes.
var errTooLarge = errors.New("message exceeds the size limit")

// messageReader reads a stream of messages and fails if one of them is larger than
// the limit. It implements io.ByteReader because a gob.Decoder would otherwise add a
// buffer of its own and read beyond the end of the message.
type messageReader struct {
	in    *bufio.Reader
	limit int
	// remaining is the number of bytes of the current message that may still be read.
	remaining int
}

func newMessageReader(in io.Reader, limit int) *messageReader {
	return &messageReader{in: bufio.NewReader(in), limit: limit, remaining: limit}
}

// startMessage resets the remaining bytes for the next message.
func (r *messageReader) startMessage() {
	r.remaining = r.limit
}

// received returns the number of bytes of the current message that have been read.
func (r *messageReader) received() int { return r.limit - r.remaining }

// awaitMessage blocks until the first byte of a message has arrived.
func (r *messageReader) awaitMessage() error {
	_, err := r.in.Peek(1)
	return err
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.in.Read(p)
	r.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	b, err := r.in.ReadByte()
	if err == nil {
		r.remaining--
	}
	return b, err
}
