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
// the number of upstreams in question and that of evacuated data centres.
func BenchmarkMessage(b *testing.B) {
	for _, size := range []struct{ entries, evacuations int }{{0, 0}, {0, 1}, {0, 7}, {0, 64}, {30, 0}, {300, 0}} {
		b.Run(fmt.Sprint(size.entries, "/", size.evacuations), func(b *testing.B) {
			args := &ExchangeArgs{Version: 1000, Wait: questionWait, Report: evidence.Report{Depth: 3, Sums: evidence.Sums{Hosts: 430, Depth: 3}}}
			for i := range size.entries {
				args.Report.Entries = append(args.Report.Entries, evidence.Entry{
					Upstream: catalog.UpstreamID(uint64(i+1) << 32), Answers: 3.75, Failed: 1.25, FailingHosts: 3, Strikes: 4, SilentHosts: 3,
					StrikeAge: 345 * time.Millisecond, AnswerAge: 1234 * time.Millisecond,
				})
			}
			for i := range size.evacuations {
				sum := evidence.EvacuationSum{DataCentre: fmt.Sprintf("quay-%02d", i), Position: catalog.Position{Epoch: 1, Revision: 1 << 30}, Hosts: 430, OpenFlows: 700_000, Outstanding: 3000}
				args.Report.Sums.Evacuations = append(args.Report.Sums.Evacuations, sum)
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
