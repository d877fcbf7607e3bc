package flow_test

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// TestPausedHostDecidesNothingStale pauses an owner until the others have taken
// its slots over, and lets it wake to packets that waited in its socket before
// its control loop runs. Found with processes stopped and continued by signals.
func TestPausedHostDecidesNothingStale(t *testing.T) {
	c := newCluster(5, faults{delay: 5 * time.Millisecond, detection: 2 * time.Second}, desk(1, 6, service.PreferBalance))
	c.start("a", "a", "b", "b")
	c.run(2 * time.Second)
	s := &c.desks[0]
	paused := c.nodes[0]
	c.crash(paused)
	var waiting []flow.Packet
	for n := range 400 {
		first := flow.Packet{Key: key(s, n), First: true}
		waiting = append(waiting, first)
		c.spray(first)
		c.run(5 * time.Millisecond)
		c.spray(flow.Packet{Key: key(s, n)})
	}
	s.Upstreams[0].State = service.AdminDraining
	c.publish(func() time.Duration { return 0 })
	c.run(5 * time.Second)

	paused.alive, paused.serving = true, true
	for _, p := range waiting {
		c.packet(paused, p)
		c.packet(paused, flow.Packet{Key: p.Key})
	}
	c.tick(paused)
	c.announceMembers(func() time.Duration { return 0 })
	for range 10 {
		for _, p := range waiting {
			c.spray(flow.Packet{Key: p.Key})
		}
		c.run(300 * time.Millisecond)
	}
	for _, broken := range c.oracle.broken {
		t.Error(broken)
	}
	if got := paused.engine.(*flow.Engine).Status().Stats.Pauses; got != 1 {
		t.Errorf("want 1 pause noticed, got %d", got)
	}
}
