package peer

import (
	"bufio"
	"errors"
	"io"
)

// errTooLarge is returned when a message exceeds its budget.
var errTooLarge = errors.New("message exceeds the size limit")

// messageReader reads a stream of messages and fails when one of them is larger
// than the limit. It implements io.ByteReader so that gob reads no further than
// the message.
type messageReader struct {
	in     *bufio.Reader
	limit  int
	budget int
}

func newMessageReader(in io.Reader, limit int) *messageReader {
	return &messageReader{in: bufio.NewReader(in), limit: limit, budget: limit}
}

// next starts a message.
func (r *messageReader) next() {
	r.budget = r.limit
}

// wait blocks until the first byte of a message has arrived.
func (r *messageReader) wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.budget <= 0 {
		return 0, errTooLarge
	}
	if len(p) > r.budget {
		p = p[:r.budget]
	}
	n, err := r.in.Read(p)
	r.budget -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	if r.budget <= 0 {
		return 0, errTooLarge
	}
	b, err := r.in.ReadByte()
	if err == nil {
		r.budget--
	}
	return b, err
}
