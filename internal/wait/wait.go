// Package wait waits for a duration or the end of a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns nil, or returns the context's error if the
// context ends first. It does not wait if the duration is not positive.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
