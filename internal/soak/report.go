package soak

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests uint64
	Served   uint64
	// NotOpened, Reset and Unanswered are the numbers of requests that were not
	// served: their flow was not opened, it was reset, or they had no response in time.
	NotOpened, Reset, Unanswered uint64
	// ServedAfterFaults is the fraction of requests that were served in the final
	// check, after all faults had ended.
	ServedAfterFaults float64
	// Faults is the number of injected faults by kind.
	Faults map[string]int
	// Violations describe the violated guarantees.
	Violations []string
}

// Print prints a summary and all violations, which it calls broken promises.
func (r *Report) Print(w io.Writer) error {
	injected := 0
	for _, n := range r.Faults {
		injected += n
	}
	_, err := fmt.Fprintf(w, "seed %d: %d requests, %d served, %d not opened, %d reset, %d unanswered; %d faults; %.4f served after the last fault; %d promises broken\n",
		r.Seed, r.Requests, r.Served, r.NotOpened, r.Reset, r.Unanswered, injected, r.ServedAfterFaults, len(r.Violations))
	for _, violation := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintln(w, "  broken:", violation)
		}
	}
	if err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	return nil
}

// counters counts requests by outcome.
type counters struct {
	requests, served, notOpened, reset, unanswered atomic.Uint64
	// requestsAfterFaults and servedAfterFaults count requests of the final check.
	requestsAfterFaults, servedAfterFaults atomic.Uint64
}

// syncWriter serializes the output of several processes. It discards all data if w
// is nil.
type syncWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.w == nil {
		return len(p), nil
	}
	return s.w.Write(p)
}
