package edge

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// TestSkippedRecordIsCountedEachTimeAndLoggedOnce guards against a log line at each
// read of a store that holds an invalid record.
func TestSkippedRecordIsCountedEachTimeAndLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	s, err := newSkippedRecords(zerolog.New(&log), prometheus.NewRegistry())
	g.Expect(err).NotTo(HaveOccurred())
	for range 50 {
		s.add("upstreams/i-1", errors.New("bad"))
	}
	s.add("upstreams/i-1", errors.New("worse"))
	g.Expect(strings.Count(log.String(), "record_skipped")).To(Equal(2))
	g.Expect(testutil.ToFloat64(s.counter.WithLabelValues("upstreams"))).To(BeEquivalentTo(51))
}
