package edge

import (
	"testing"
	"time"
)

// drainTime polls a tracker until it is done and returns how long that took.
func drainTime(limit time.Duration, refusedChecks, packets func(elapsed time.Duration) uint64) time.Duration {
	start := time.Unix(1_000, 0)
	d := newDrainTracker(start, limit, packets(0))
	for elapsed := time.Duration(0); ; elapsed += drainPollInterval {
		if d.done(start.Add(elapsed), refusedChecks(elapsed), packets(elapsed)) {
			return elapsed
		}
	}
}

// checksFrom returns a count of refused readiness checks. The first arrives at the
// given time, the others every half second after it.
func checksFrom(first time.Duration) func(time.Duration) uint64 {
	return func(elapsed time.Duration) uint64 {
		if elapsed < first {
			return 0
		}
		return uint64((elapsed-first)/(500*time.Millisecond)) + 1
	}
}

// packetsUntil returns a packet count that grows with each poll until the end.
func packetsUntil(end time.Duration) func(time.Duration) uint64 {
	return func(elapsed time.Duration) uint64 { return uint64(min(elapsed, end) / drainPollInterval) }
}

// noCount is a count that stays zero.
func noCount(time.Duration) uint64 { return 0 }

func TestDrainTracker(t *testing.T) {
	const limit = 4800 * time.Millisecond
	tests := []struct {
		name                   string
		refusedChecks, packets func(time.Duration) uint64
		want                   time.Duration
	}{
		{"exits soon after the second refused check", checksFrom(300 * time.Millisecond), packetsUntil(810 * time.Millisecond), 900 * time.Millisecond},
		{"continues while packets arrive although its checks have failed", checksFrom(0), packetsUntil(2 * time.Second), 2100 * time.Millisecond},
		{"waits for the checks although no packets arrive", checksFrom(900 * time.Millisecond), noCount, 1400 * time.Millisecond},
		{"exits without checks when no packets arrive", noCount, noCount, 1500 * time.Millisecond},
		{"exits at the limit", noCount, packetsUntil(time.Hour), limit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := drainTime(limit, test.refusedChecks, test.packets); got != test.want {
				t.Errorf("done after %s, want %s", got, test.want)
			}
		})
	}
}
