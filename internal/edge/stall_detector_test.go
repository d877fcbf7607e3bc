package edge

import (
	"testing"
	"time"
)

func TestStallDetector(t *testing.T) {
	var detector stallDetector
	now := time.Unix(1_000, 0)
	detector.observe(now)
	tests := []struct {
		name            string
		elapsed         time.Duration
		stalled, jumped time.Duration
	}{
		{"on time", stallCheckInterval, 0, 0},
		{"late by the threshold", stallCheckInterval + stallThreshold, 0, 0},
		{"late by four seconds", stallCheckInterval + 4*time.Second, 4 * time.Second, 0},
		{"on time again", stallCheckInterval, 0, 0},
	}
	for _, test := range tests {
		now = now.Add(test.elapsed)
		if stalled, jumped := detector.observe(now); stalled != test.stalled || jumped != test.jumped {
			t.Errorf("%s: stalled %s, clock jumped %s", test.name, stalled, jumped)
		}
	}
}

// TestStallDetectorIgnoresClockJumpBack checks that a wall clock that is set back
// is not reported as a stall.
func TestStallDetectorIgnoresClockJumpBack(t *testing.T) {
	var detector stallDetector
	now := time.Now() // has a monotonic reading
	detector.last = now.Add(-stallCheckInterval)
	// Without a monotonic reading, times are compared by the wall clock.
	jumpedBack := now.Add(-3 * time.Second).Round(0)
	if stalled, _ := detector.observe(jumpedBack); stalled != 0 {
		t.Errorf("stalled %s after the wall clock jumped back, want 0", stalled)
	}
}
