package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// caller sends requests, one at a time.
type caller struct {
	run *soakRun
	// dc is the index of the data centre in which its flows enter.
	dc      int
	standin *standin.Caller
	random  *rand.Rand
	// servedAt is when the caller's last request was served.
	servedAt time.Time
	cancel   context.CancelFunc
	done     chan struct{}
}

// startCallers starts the callers, alternating between the data centres.
func (r *soakRun) startCallers(ctx context.Context) error {
	for i := range r.options.Callers {
		dc := i % dataCentres
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 30, byte(i >> 8), byte(i + 1)}), r.basePort)
		endpoint, err := standin.NewCaller(address, func(flow netip.AddrPort) netip.AddrPort { return r.selectHost(dc, flow) }, r.recorder)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(ctx)
		c := &caller{run: r, dc: dc, standin: endpoint, random: rand.New(rand.NewPCG(r.options.Seed, uint64(i))), cancel: cancel, done: make(chan struct{})}
		r.callers = append(r.callers, c)
		go c.sendRequests(ctx, i)
	}
	return nil
}

// stop cancels the current request, waits until the caller has stopped and closes its
// socket.
func (c *caller) stop() {
	c.cancel()
	<-c.done
	c.standin.Close()
}

// sendRequests sends requests until ctx is cancelled. The index of the caller
// determines its service and whether it keeps its flow open between requests.
func (c *caller) sendRequests(ctx context.Context, index int) {
	defer close(c.done)
	service := index % len(services)
	keepFlow := index%4 < 2
	for ctx.Err() == nil {
		c.sendRequest(ctx, service, keepFlow)
		if wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*meanThinkTime)))) != nil {
			return
		}
	}
}

// sendRequest sends one request, with up to two retries, and checks the outcome.
// Requests of a caller that keeps its flow may run twice, those of others must not.
func (c *caller) sendRequest(ctx context.Context, service int, keepFlow bool) {
	r := c.run
	id := r.lastRequestID.Add(1)
	route := 2
	if keepFlow {
		route = 1
	}
	faultsOver := r.faultsOver.Load()
	wasOpen := c.hasLiveFlow()
	stable := r.stable()
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	err := c.standin.SendRequest(requestCtx, virtualAddress(service, route), services[service], id, !keepFlow, c.random.IntN(4000))
	for range 2 { // as callers do, retry if the request did not run or may be repeated
		if err == nil || requestCtx.Err() != nil || !keepFlow && !errors.Is(err, standin.ErrNotOpened) {
			break
		}
		r.checkReset(err, wasOpen, stable)
		wasOpen = false
		err = c.standin.SendRequest(requestCtx, virtualAddress(service, route), services[service], id, !keepFlow, c.random.IntN(4000))
	}
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		c.servedAt = time.Now()
	}
	c.recordOutcome(err, faultsOver)
	r.checkReset(err, wasOpen, stable)
	if errors.Is(err, standin.ErrNotOpened) && r.recorder.RunCount(id) > 0 && !keepFlow {
		r.recorder.RecordViolation("request %d ran although its flow was not opened", id)
	}
	if !keepFlow {
		c.standin.CloseFlow()
	}
}

// hasLiveFlow reports whether a flow is open and the process that served its last request still
// runs. A new process of the same upstream resets the flow.
func (c *caller) hasLiveFlow() bool {
	return c.standin.HasFlow() && c.run.runsSince(c.standin.FlowToken(), c.servedAt)
}

// recordOutcome counts a request by its outcome. A request sent after all faults had
// ended also counts for the final check.
func (c *caller) recordOutcome(err error, faultsOver bool) {
	counts := &c.run.counters
	counts.requests.Add(1)
	switch {
	case err == nil:
		counts.served.Add(1)
	case errors.Is(err, standin.ErrNotOpened):
		counts.notOpened.Add(1)
	case errors.Is(err, standin.ErrReset):
		counts.reset.Add(1)
	default:
		counts.unanswered.Add(1)
	}
	if faultsOver {
		counts.requestsAfterFaults.Add(1)
		if err == nil {
			counts.servedAfterFaults.Add(1)
		}
	}
}

// checkReset records a violation if an open flow was reset while the run was stable,
// both when the request was sent and now.
func (r *soakRun) checkReset(err error, wasOpen, stable bool) {
	if errors.Is(err, standin.ErrReset) && wasOpen && stable && r.stable() {
		r.recorder.RecordViolation("an open flow was reset although there had been no recent fault")
	}
}
