package feed

import (
	"context"
	"time"
)

// Clock provides the time, sleeps and time limits of a Feed, so that many feeds can run in
// virtual time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d, or returns the error of ctx if ctx ends first.
	Sleep(ctx context.Context, d time.Duration) error
	// WithTimeout returns a context that ends after d.
	WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc)
	// AfterFunc calls f in its own goroutine after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}
