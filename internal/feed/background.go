package feed

import (
	"context"
	"sync"
	"time"
)

// background runs functions after a delay until it is stopped.
type background struct {
	clock  Clock
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

func newBackground(clock Clock) *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{clock: clock, ctx: ctx, cancel: cancel}
}

// after calls f in its own goroutine after the delay, unless b is stopped by then or stop is
// called before.
func (b *background) after(delay time.Duration, f func(context.Context)) (stop func() bool) {
	return b.clock.AfterFunc(delay, func() {
		if b.begin() {
			defer b.running.Done()
			f(b.ctx)
		}
	})
}

// begin counts a running function. It returns false once b is stopped.
func (b *background) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.running.Add(1)
	}
	return !b.stopped
}

// stop ends the context of all functions and waits for their end.
func (b *background) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.cancel()
	b.running.Wait()
}
