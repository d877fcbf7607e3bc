package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
)

// errWrite is joined to the errors of writing to the connection, to distinguish them
// from encoding errors.
var errWrite = errors.New("write failed")

// messageWriter writes messages, each consisting of a header and an optional body
// encoded by gob. It refuses messages above the size limit without corrupting the
// stream.
type messageWriter struct {
	out     io.Writer
	limit   int
	buffer  bytes.Buffer
	encoder *gob.Encoder
	// pendingDefinitions holds the gob type definitions of refused messages. The encoder
	// emits each definition only once, so they are sent with the next message.
	pendingDefinitions []byte
	// sent is the size of the last message that was written.
	sent int
	// body is a buffer for the encoded body, reused for each message.
	body []byte
}

func newMessageWriter(out io.Writer, limit int) *messageWriter {
	w := &messageWriter{out: out, limit: limit}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

// write sends the header and, unless it is nil, the body. It sends nothing if either
// cannot be encoded or the message is too large.
func (w *messageWriter) write(header, body any) error {
	w.body = w.body[:0]
	if body != nil {
		if err := w.encode(body); err != nil {
			return err
		}
		w.body = append(w.body, w.buffer.Bytes()...)
	}
	if err := w.encode(header); err != nil {
		w.savePendingDefinitions(w.body)
		return err
	}
	if w.buffer.Len()+len(w.body) > w.limit {
		w.savePendingDefinitions(w.buffer.Bytes())
		w.savePendingDefinitions(w.body)
		return errTooLarge
	}
	message := append(w.pendingDefinitions, w.buffer.Bytes()...)
	message = append(message, w.body...)
	w.pendingDefinitions, w.sent = nil, len(message)
	if _, err := w.out.Write(message); err != nil {
		return errors.Join(errWrite, err)
	}
	return nil
}

// encode replaces the contents of the buffer with the encoded value. If that fails, the
// buffer holds type definitions only, because the encoder writes the value last and whole.
func (w *messageWriter) encode(value any) error {
	w.buffer.Reset()
	err := w.encoder.Encode(value)
	if err != nil {
		w.pendingDefinitions = append(w.pendingDefinitions, w.buffer.Bytes()...)
	}
	return err
}

// savePendingDefinitions adds the type definitions of an encoded value to
// pendingDefinitions. Every gob message but the last is a type definition; the last holds
// the value.
func (w *messageWriter) savePendingDefinitions(encoded []byte) {
	for len(encoded) > 0 {
		size := gobMessageSize(encoded)
		if size >= len(encoded) {
			return
		}
		w.pendingDefinitions = append(w.pendingDefinitions, encoded[:size]...)
		encoded = encoded[size:]
	}
}

// gobMessageSize returns the size of the first gob message including its length
// prefix. The prefix is an unsigned integer in the format that encoding/gob documents:
// a value below 128 is one byte; a larger one is a byte with the negated number of the
// big-endian bytes that follow.
func gobMessageSize(encoded []byte) int {
	first := encoded[0]
	if first < 0x80 {
		return 1 + int(first)
	}
	count := -int(int8(first))
	size := 0
	for _, b := range encoded[1 : 1+count] {
		size = size<<8 | int(b)
	}
	return 1 + count + size
}
