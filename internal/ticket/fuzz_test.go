package ticket

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"
	"time"
)

// FuzzTransfer puts the ledger of another host into use, as net/rpc decodes it. Whatever it
// holds, tickets can be presented, and the window stays within its limit.
func FuzzTransfer(f *testing.F) {
	for _, transfer := range []Transfer{
		{Issuer: "entry-1", Incarnation: 3, Next: 40, Window: Window{Words: []uint64{5, 6}}, Records: []Record{{Sequence: 1, Done: true}, {Sequence: 2}}, Exclusive: true},
		{Next: 1 << 20, Exclusive: true},
		{Next: math.MaxUint64, Window: Window{Base: math.MaxUint64, Words: make([]uint64, 9)}, Records: []Record{{}, {}}, Exclusive: true},
	} {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(&transfer); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var transfer Transfer
		if gob.NewDecoder(bytes.NewReader(encoded)).Decode(&transfer) != nil {
			return
		}
		options := smallLimits()
		l := NewLedgerFromTransfer(options, transfer)
		for i, sequence := range []uint64{1, transfer.Next, transfer.Next + 1} {
			if i == 2 {
				l.Issue(start, 7)
			}
			ticket := Ticket{Sequence: sequence, Service: 7, ExpiresMs: math.MaxUint64}
			if l.Begin(start, ticket, 7, Digest{}).Kind == ClaimRun {
				l.Finish(start, sequence, Result{})
			}
			l.Burn(start, ticket, "")
			l.Result(sequence)
			if len(l.window.Words) > options.MaxWords {
				t.Fatalf("the window has %d words, %d are allowed", len(l.window.Words), options.MaxWords)
			}
		}
		l.Sweep(start.Add(time.Hour))
		l.Seal()
	})
}
