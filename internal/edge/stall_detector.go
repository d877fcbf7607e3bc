package edge

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

const (
	// stallCheckInterval is the time between reads of the clocks.
	stallCheckInterval = 500 * time.Millisecond
	// stallThreshold is how late a read may be before it counts as a stall, and how
	// far the wall clock may jump before that is reported. It exceeds the pauses of a
	// host whose CPU quota is a small share of a core.
	stallThreshold = 300 * time.Millisecond
)

// stallDetector detects that the process was not scheduled for a while or that the
// wall clock jumped. Its log lines explain missed deadlines and checks.
type stallDetector struct {
	// last is the time that the last call of observe was given.
	last time.Time
}

// observe compares the time with that of the last call. It returns how long the
// process stalled and how far the wall clock jumped. Each is zero if it did not happen.
func (d *stallDetector) observe(now time.Time) (stalled, jumped time.Duration) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0, 0
	}
	monotonic := now.Sub(last) // monotonic if both times have a monotonic reading
	wallClock := now.Round(0).Sub(last.Round(0))
	if late := monotonic - stallCheckInterval; late > stallThreshold {
		stalled = late
	}
	if jump := wallClock - monotonic; jump.Abs() > stallThreshold {
		jumped = jump
	}
	return stalled, jumped
}

// run reads the clocks and logs stalls and jumps until ctx is cancelled.
func (d *stallDetector) run(ctx context.Context, now func() time.Time, logger zerolog.Logger) error {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if stalled, jumped := d.observe(now()); stalled != 0 || jumped != 0 {
			logger.Warn().Dur("stalled_ms", stalled).Dur("clock_jump_ms", jumped).Msg("host_stalled")
		}
	}
}
