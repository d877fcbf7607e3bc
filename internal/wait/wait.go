// Package wait provides a sleep that the end of a context interrupts.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns nil, or returns the error of ctx if ctx ends
// first. If the duration is 0 or negative, it returns the error of ctx immediately.
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
