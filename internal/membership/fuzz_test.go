package membership

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// FuzzMessage passes a node a message of another host, as a request and as the answer to each
// of its own exchanges, as net/rpc decodes them. It must not panic, and must not lose itself.
func FuzzMessage(f *testing.F) {
	other := host.Host{ID: "b", Incarnation: 2}
	for _, m := range []Message{
		{From: "b", Probe: true, Records: []Record{{ID: "b", Generation: 1, Incarnation: 2, Sequence: 1, Phase: Active, Host: &other}}},
		{From: "b", Records: []Record{{ID: "a", Generation: math.MaxUint64 - 1, Sequence: math.MaxUint64, Phase: Left, Contacts: []Key{1}}}},
		{From: "a", Introduce: true, Sync: true, Last: true, Digest: []Version{{Key: 1, Hash: 2}}, Want: []Key{1, 2}, WantSender: true, Summary: 9},
	} {
		var encoded bytes.Buffer
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
		now := time.Unix(1_000_000, 0)
		n := New(now, Config{Self: host.Host{ID: "a", Incarnation: 1}, Seed: 1})
		n.HandleRequest(now, m)
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			for _, exchange := range n.Step(now) {
				n.HandleAnswer(now, exchange, m)
			}
		}
		if n.entries["a"] != n.self || n.byKey[n.self.key] != n.self {
			t.Errorf("the node has lost its own entry to %+v", m)
		}
	})
}
