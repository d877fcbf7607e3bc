package experiment

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// TestQueueIsServedAfterSilence covers an upstream that falls silent while requests wait in
// its queue: they kept their places in the queue while its slots were free.
func TestQueueIsServedAfterSilence(t *testing.T) {
	sim := newSimulation(DefaultOptions(), echo.LeastUsed)
	u := sim.upstreams[0]
	f := &callerFlow{upstream: u}
	for i := range u.slots + 1 {
		u.handleRequest(&request{flow: f, number: i + 1})
	}
	if len(u.queue) != 1 {
		t.Fatalf("%d requests are queued, want 1", len(u.queue))
	}
	u.silent = true
	sim.at(time.Minute, func() { u.silent = false })
	sim.options.Duration = 2 * time.Minute
	sim.runEvents()
	if len(u.queue) != 0 || u.running != 0 {
		t.Errorf("%d requests are queued and %d run, want none", len(u.queue), u.running)
	}
}
