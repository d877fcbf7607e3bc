package lag

import (
	"context"
	"time"
)

// clock is the clock of the feed of a host. It implements feed.Clock.
type clock struct {
	*scheduler
	// host is the host whose callers are notified after each step of its processes; nil if
	// there is none.
	host *simulatedHost
}

func (c clock) Now() time.Time { return c.now }

func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return c.waitUntil(ctx, c.now.Add(d))
}

func (c clock) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	limited := &virtualContext{Context: ctx, clock: c, deadline: c.now.Add(d)}
	return limited, limited.cancel
}

func (c clock) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	done := false
	c.start(c.now.Add(d), c.host.notify, func() {
		if !done {
			done = true
			f()
		}
	})
	return func() bool {
		stopped := !done
		done = true
		return stopped
	}
}

// waitUntil suspends the current process until the time, or until ctx ends. It returns the
// error of ctx in the latter case.
func (c clock) waitUntil(ctx context.Context, until time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
		until = deadline
	}
	p := c.current
	for inner := ctx; ; {
		v, ok := inner.(*virtualContext)
		if !ok {
			break
		}
		v.waiting = p
		defer func() { v.waiting = nil }()
		inner = v.Context
	}
	p.park(until)
	return ctx.Err()
}

// virtualContext is a context that ends at a virtual time or when it is cancelled. Only
// waitUntil notices its end.
type virtualContext struct {
	context.Context
	clock    clock
	deadline time.Time
	canceled bool
	// waiting is the process that waits for the end of this context; nil if none does.
	waiting *process
}

func (v *virtualContext) cancel() {
	v.canceled = true
	if v.waiting != nil {
		v.waiting.wake()
	}
}

func (v *virtualContext) Deadline() (time.Time, bool) {
	if outer, ok := v.Context.Deadline(); ok && outer.Before(v.deadline) {
		return outer, true
	}
	return v.deadline, true
}

func (v *virtualContext) Err() error {
	switch {
	case v.canceled:
		return context.Canceled
	case v.Context.Err() != nil:
		return v.Context.Err()
	case !v.clock.now.Before(v.deadline):
		return context.DeadlineExceeded
	default:
		return nil
	}
}
