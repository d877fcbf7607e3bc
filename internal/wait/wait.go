// Package wait lets time pass until a context ends.
package wait

import (
	"context"
	"time"
)

// For returns nil after the duration, or the context's error if that ends first.
// A duration that is not positive does not wait.
func For(ctx context.Context, duration time.Duration) error {
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
