package flow_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// TestPausedHostMakesNoStaleDecision pauses an owner until the others have taken
// over its slots. When it continues, its socket still holds packets that it
// processes before its control loop runs, so deciding them from its old state
// would break flows. Seen with processes stopped and continued by signals.
func TestPausedHostMakesNoStaleDecision(t *testing.T) {
	c := newCluster(5, faults{delay: 5 * time.Millisecond, detectionTime: 2 * time.Second}, testService(1, 6, service.PreferBalance))
	c.start("a", "a", "b", "b")
	c.run(2 * time.Second)
	s := &c.services[0]
	paused := c.nodes[0]
	c.crash(paused)
	var queued []flow.Packet
	for n := range 400 {
		first := flow.Packet{Key: key(s, n), First: true}
		queued = append(queued, first)
		c.sendToAnyHost(first)
		c.run(5 * time.Millisecond)
		c.sendToAnyHost(flow.Packet{Key: key(s, n)})
	}
	s.Upstreams[0].State = service.AdminDraining
	c.publish(func() time.Duration { return 0 })
	c.run(5 * time.Second)

	paused.alive, paused.serving = true, true
	for _, p := range queued {
		c.deliver(paused, p)
		c.deliver(paused, flow.Packet{Key: p.Key})
	}
	c.tick(paused)
	c.announceMembers(func() time.Duration { return 0 })
	for range 10 {
		for _, p := range queued {
			c.sendToAnyHost(flow.Packet{Key: p.Key})
		}
		c.run(300 * time.Millisecond)
	}
	for _, broken := range c.oracle.broken {
		t.Error(broken)
	}
	if got := paused.balancer.(*flow.Engine).Status().Stats.Pauses; got != 1 {
		t.Errorf("want 1 pause detected, got %d", got)
	}
}
