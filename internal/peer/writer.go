package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
)

// errWrite marks a failure of the connection, as opposed to one of encoding.
var errWrite = errors.New("write failed")

// messageWriter writes messages of a header and a body as gob values and refuses
// those above the limit without damage to the stream.
type messageWriter struct {
	out     io.Writer
	limit   int
	buffer  bytes.Buffer
	encoder *gob.Encoder
	// definitions are type definitions of refused messages, which the encoder
	// will not repeat and the receiver still needs.
	definitions []byte
	body        []byte
}

func newMessageWriter(out io.Writer, limit int) *messageWriter {
	w := &messageWriter{out: out, limit: limit}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

// write sends the header followed by the body, if it is not nil.
func (w *messageWriter) write(header, body any) error {
	w.body = w.body[:0]
	if body != nil {
		if err := w.encode(body); err != nil {
			return err
		}
		w.body = append(w.body, w.buffer.Bytes()...)
	}
	if err := w.encode(header); err != nil {
		w.keepDefinitions(w.body)
		return err
	}
	if w.buffer.Len()+len(w.body) > w.limit {
		w.keepDefinitions(w.buffer.Bytes())
		w.keepDefinitions(w.body)
		return errTooLarge
	}
	message := append(w.definitions, w.buffer.Bytes()...)
	message = append(message, w.body...)
	w.definitions = nil
	if _, err := w.out.Write(message); err != nil {
		return errors.Join(errWrite, err)
	}
	return nil
}

// encode replaces the content of the buffer by the value's encoding.
func (w *messageWriter) encode(value any) error {
	w.buffer.Reset()
	err := w.encoder.Encode(value)
	if err != nil {
		w.keepDefinitions(w.buffer.Bytes())
	}
	return err
}

// keepDefinitions saves all gob messages of the encoding but the last, which
// holds the value.
func (w *messageWriter) keepDefinitions(encoded []byte) {
	for len(encoded) > 0 {
		size := gobMessageSize(encoded)
		if size >= len(encoded) {
			return
		}
		w.definitions = append(w.definitions, encoded[:size]...)
		encoded = encoded[size:]
	}
}

// gobMessageSize returns the size of the first gob message, its length prefix
// included. The prefix is an unsigned integer as encoding/gob documents it: one
// byte below 128, or else the negated count of the big-endian bytes that follow.
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
