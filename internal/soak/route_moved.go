package soak

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

// movingAddress is the address of the route that moves between the services.
var movingAddress = virtualAddress(8, 1)

const (
	// movedRequestInterval is the time between two requests on a flow of the route that
	// has moved.
	movedRequestInterval = 150 * time.Millisecond
	// movedTimeout is the time limit of such a request. It is longer than that of other
	// callers, because a busy machine stops hosts for most of a second, and a host that
	// does not know the former service drops all copies.
	movedTimeout = 4 * requestTimeout
)

// moveRoute opens a flow of the moving route, moves the route to the next service, and
// restarts all hosts of a data centre, one after the other. Requests on the flow must be
// answered meanwhile, until its upstream drains and closes it.
func (r *soakRun) moveRoute() {
	if !r.routeMoving.CompareAndSwap(false, true) {
		return
	}
	dc, before := r.random.IntN(dataCentres), services[r.movingService]
	id := r.lastRequestID.Add(1)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 32, byte(id >> 8), byte(id)}), r.basePort)
	c, err := standin.NewCaller(address, func(flow netip.AddrPort) netip.AddrPort { return r.selectHost(dc, flow) }, r.recorder)
	if err != nil {
		r.recorder.RecordViolation("%v", err)
		r.routeMoving.Store(false)
		return
	}
	stable := r.stable()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	err = c.SendRequest(ctx, movingAddress, before, id, false, 10)
	cancel()
	r.movingService = (r.movingService + 1) % len(services)
	r.setRoutes(r.routesWithMoved())
	if err := r.publish(); err != nil {
		r.recorder.RecordViolation("%v", err)
	}
	if err != nil { // refused, or a fault meanwhile
		c.Close()
		r.routeMoving.Store(false)
		return
	}
	delay := time.Duration(r.random.Int64N(int64(applyWithin)))
	restarted := make(chan struct{})
	r.runInBackground(func() {
		defer close(restarted)
		time.Sleep(delay)
		for _, h := range r.hosts {
			if h.dataCentre == dataCentreName(dc) {
				h.stop()
				time.Sleep(restartDelay + maxFailedChecks*checkInterval)
			}
		}
	})
	r.runInBackground(func() {
		defer r.routeMoving.Store(false)
		defer c.Close()
		r.useFlow(c, before, stable, restarted)
	})
}

// routesWithMoved returns the routes with the moving one at its current service.
func (r *soakRun) routesWithMoved() []standin.Route {
	routes := slices.Clone(r.routes)
	for i := range routes {
		if routes[i].Address == movingAddress {
			routes[i].Service = services[r.movingService]
		}
	}
	return routes
}

// useFlow sends requests on the caller's flow until its upstream closes or the host resets
// it, or until done is closed. It records a violation if one has no response although there
// was no fault.
func (r *soakRun) useFlow(c *standin.Caller, service string, stable bool, done <-chan struct{}) {
	for c.HasFlow() {
		select {
		case <-done:
			return
		case <-time.After(movedRequestInterval):
		}
		ctx, cancel := context.WithTimeout(context.Background(), movedTimeout)
		err := c.SendRequest(ctx, movingAddress, service, r.lastRequestID.Add(1), false, 10)
		cancel()
		stable = stable && r.stable()
		if err != nil && !errors.Is(err, standin.ErrReset) && stable {
			r.recorder.RecordViolation("a request on an open flow of a route that had moved from %s ended with error %v", service, err)
		}
	}
}
