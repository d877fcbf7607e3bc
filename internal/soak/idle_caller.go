package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

const (
	// idleCallers is the number of callers whose flows pause for long.
	idleCallers = 32
	// minPause and maxPause bound the time between two requests of such a caller. Flows stay idle
	// for longer than hosts may take to recover from a fault, and for less than the idle timeout.
	minPause = 2 * time.Second
	maxPause = 9 * time.Second
)

// newIdleCaller returns a caller that sendWithPauses uses.
func (r *soakRun) newIdleCaller(index int) (*caller, error) {
	c := &caller{run: r, dc: index % dataCentres, random: rand.New(rand.NewPCG(r.options.Seed, 1<<32+uint64(index))), done: make(chan struct{})}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 32, 0, byte(index + 1)}), r.basePort)
	var err error
	c.standin, err = standin.NewCaller(address, func(flow netip.AddrPort) netip.AddrPort { return r.selectHost(c.dc, flow) }, r.recorder)
	return c, err
}

// startIdleCallers starts the callers whose flows pause for long.
func (r *soakRun) startIdleCallers(ctx context.Context) error {
	for i := range idleCallers {
		c, err := r.newIdleCaller(i)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(ctx)
		c.cancel = cancel
		r.callers = append(r.callers, c)
		go c.sendWithPauses(ctx, i%len(services))
	}
	return nil
}

// sendWithPauses sends requests that may be repeated, on one flow for as long as it lives. It
// records a violation if the flow is reset while its upstream's process lives, during a pause or
// by the next request, and there has been no recent fault.
func (c *caller) sendWithPauses(ctx context.Context, service int) {
	defer close(c.done)
	r := c.run
	for ctx.Err() == nil {
		c.sendRequest(ctx, service, true)
		token := c.standin.FlowToken()
		pause := minPause + time.Duration(c.random.Int64N(int64(maxPause-minPause)))
		if c.standin.AwaitReset(ctx, pause) && r.stable() && r.runsSince(token, c.servedAt) {
			r.recorder.RecordViolation("an idle flow was reset although its upstream %08x works and there had been no recent fault", uint32(token))
		}
	}
}
