package wait

import (
	"context"
	"time"
)

// Clock runs in real time. Its methods are what cores take as their clock if they wait.
type Clock struct {
	// Time returns the current time.
	Time func() time.Time
}

// Now returns the current time.
func (c Clock) Now() time.Time { return c.Time() }

// Sleep waits like the function Sleep.
func (Clock) Sleep(ctx context.Context, d time.Duration) error { return Sleep(ctx, d) }

// WithTimeout returns a context that ends after d.
func (Clock) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// AfterFunc calls f in its own goroutine after d, unless stop is called before. stop reports
// whether it has prevented the call.
func (Clock) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(d, f).Stop
}
