package ticket

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// BenchmarkScalingLedger measures the time for issuing, presenting and finishing a ticket
// while the ledger keeps the given number of results, and the memory per result.
func BenchmarkScalingLedger(b *testing.B) {
	for _, kept := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) { benchmarkLedger(b, kept) })
	}
}

func benchmarkLedger(b *testing.B, kept int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := NewLedger(Options{Lifetime: time.Hour, Retention: time.Hour, MaxRecords: kept, MaxBytes: 1 << 40, MaxWords: 1 << 16})
	runTicket := func() {
		ticket := l.Issue(start, 7)
		l.Begin(start, ticket, 7, Digest{1})
		l.Finish(start, ticket.Sequence, Result{Outcome: admission.Answered, Reason: admission.ReasonOK, Status: 200})
	}
	for range kept {
		runTicket()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runTicket()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(kept), "bytes/result")
	runtime.KeepAlive(l)
}

func BenchmarkIssueAndVerify(b *testing.B) {
	var keyring Keyring
	keyring.SetKeys(start, [][]byte{[]byte("a key of thirty-two bytes length")}, time.Hour)
	l := NewLedger(smallLimits())
	for b.Loop() {
		if _, err := keyring.Verify(keyring.Encode(l.Issue(start, 7))); err != nil {
			b.Fatal(err)
		}
	}
}
