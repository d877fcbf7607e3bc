package evidencerpc

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// BenchmarkMessage measures the size of the arguments of a call on an open connection, by
// the number of upstreams in question.
func BenchmarkMessage(b *testing.B) {
	for _, entries := range []int{0, 30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			args := &ExchangeArgs{Version: 1000, Wait: questionWait, Report: evidence.Report{Depth: 3}}
			for i := range entries {
				args.Report.Entries = append(args.Report.Entries, evidence.Entry{
					Upstream: catalog.UpstreamID(uint64(i+1) << 32), Answers: 3.75, Failed: 1.25, FailingHosts: 3, Strikes: 4, SilentHosts: 3,
					StrikeAge: 345 * time.Millisecond, AnswerAge: 1234 * time.Millisecond,
				})
			}
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			encode := func() {
				if err := encoder.Encode(args); err != nil {
					b.Fatal(err)
				}
			}
			encode() // the first message describes the types
			size := 0
			for b.Loop() {
				stream.Reset()
				encode()
				size = stream.Len()
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
