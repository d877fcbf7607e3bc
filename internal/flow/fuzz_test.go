package flow

import (
	"bytes"
	"encoding/gob"
	"testing"
)

// FuzzReceivedMessage passes an engine a message of another host of any content, as net/rpc
// decodes it. A message that the engine accepts must not make it panic.
func FuzzReceivedMessage(f *testing.F) {
	slots := SlotSet{}
	slots.Add(3)
	for kind := range DrainNotice + 1 {
		var encoded bytes.Buffer
		m := Message{
			Kind: kind, Service: 1, Version: 1, Term: 2, Round: 1, Slots: slots, Parts: 1, Upstreams: []Target{{Name: "u"}}, Hosts: nil,
			Records: RecordList{{ID: 3 << 40}}, Defaults: []Default{{Term: 1}}, Owners: []Owner{{Term: 2}},
		}
		if err := gob.NewEncoder(&encoded).Encode(&m); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var m Message
		if gob.NewDecoder(bytes.NewReader(encoded)).Decode(&m) != nil {
			return
		}
		e := newLargeEngine(4)
		e.Step(testStart, Received{From: "a-2", Message: m})
		e.Step(testStart.Add(TickInterval), Tick{})
	})
}
