package ticket

import (
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// BenchmarkLedger measures issuing, presenting and finishing a ticket, and the
// memory of what is kept of it.
func BenchmarkLedger(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := NewLedger(Options{Life: time.Hour, Keep: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40, MaxWords: 1 << 20})
	result := Result{Outcome: admission.Answered, Reason: admission.ReasonOK, Status: 200}
	b.ResetTimer()
	for range b.N {
		ticket := l.Issue(start, 7)
		l.Begin(start, ticket, 7, Digest{1})
		l.Finish(start, ticket.Sequence, result)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/result")
	runtime.KeepAlive(l)
}

func BenchmarkIssueAndVerify(b *testing.B) {
	var ring Keyring
	ring.Adopt(start, [][]byte{[]byte("a key of thirty-two bytes length")}, time.Hour)
	l := NewLedger(smallBounds())
	for b.Loop() {
		if _, err := ring.Verify(ring.Encode(l.Issue(start, 7))); err != nil {
			b.Fatal(err)
		}
	}
}
