package peer

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/onsi/gomega"
)

// TestWriterKeepsDefinitionsOfFailedMessages covers a message that fails after the encoder
// has emitted type definitions: the encoder emits each only once, so that a reader could
// decode no later message of the type if they were lost.
func TestWriterKeepsDefinitionsOfFailedMessages(t *testing.T) {
	type inner struct{ Text string }
	type outer struct {
		Inner inner
		Any   any
	}
	for name, failing := range map[string]any{
		"too large":      outer{Inner: inner{string(make([]byte, 1000))}},
		"unregistered":   outer{Any: struct{ A int }{1}},
		"nil in a slice": []*inner{nil},
		"function":       func() {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var sent bytes.Buffer
			w := newMessageWriter(&sent, 512)
			g.Expect(w.write(requestHeader{Method: "m"}, failing)).NotTo(Succeed())
			g.Expect(sent.Len()).To(BeZero())
			for range 2 {
				g.Expect(w.write(requestHeader{Method: "m"}, outer{Inner: inner{"x"}})).To(Succeed())
			}
			decoder := gob.NewDecoder(&sent)
			for range 2 {
				var header requestHeader
				var body outer
				g.Expect(decoder.Decode(&header)).To(Succeed())
				g.Expect(decoder.Decode(&body)).To(Succeed())
				g.Expect(body.Inner.Text).To(Equal("x"))
			}
		})
	}
}
