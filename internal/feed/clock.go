package feed

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
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
}

// systemClock runs in real time.
type systemClock struct{ now func() time.Time }

func (c systemClock) Now() time.Time { return c.now() }

func (systemClock) Sleep(ctx context.Context, d time.Duration) error { return wait.Sleep(ctx, d) }

func (systemClock) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}
