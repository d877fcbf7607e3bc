package forward

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
)

// admissionInterval is the time between looks for waiting flows that can be admitted, or
// must be refused, although no packet arrives.
const admissionInterval = 20 * time.Millisecond

// wakeAdmission makes runAdmission look for waiting flows. It never blocks.
func (f *EchoForwarder) wakeAdmission() {
	select {
	case f.admissionWake <- struct{}{}:
	default:
	}
}

// runAdmission admits waiting flows until ctx is cancelled. It sleeps while there are
// none.
func (f *EchoForwarder) runAdmission(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.admissionWake:
		}
		for f.options.Engine.WaitingFlows() > 0 {
			if wait.Sleep(ctx, admissionInterval) != nil {
				return
			}
			f.admitWaiting()
		}
	}
}

// admitWaiting executes the decisions on waiting flows that can be admitted or must be
// refused.
func (f *EchoForwarder) admitWaiting() {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	for {
		syn, d, ok := f.options.Engine.NextAdmitted(f.options.Now())
		if !ok {
			return
		}
		if p := f.held.hold.remove(packetIDOf(&syn)); p != nil {
			f.held.worker.executeHeld(&d, p)
		}
	}
}
