package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// movedRoute checks CONFIG: once a target has seen the effect of a version through a host, that
// host handles no request that is sent more than rollback_slack_ms later as only an older version
// allows. The disruption is a change of the configuration that moves a route to another service,
// while the targets of the former one hold as many flows as they can.
func movedRoute(r *rig, trouble bool) error {
	const (
		rollbackSlack = 250 * time.Millisecond
		clients       = 100
		maxFlows      = 30
	)
	routes := []routeSpec{
		{address: rosterAddress, kind: "safe", service: "berth-desk", timeout: 1500, priority: 1},
		{address: planAddress, kind: "download", service: "plan-store", timeout: 3000, priority: 1},
	}
	services := []string{"berth-desk", "plan-store"}
	if err := r.configure(7, routes, services, 2*time.Second, 0); err != nil {
		return err
	}
	var targets []*target
	for i, service := range []string{"berth-desk", "berth-desk", "plan-store", "plan-store"} {
		t, err := r.newTarget(fmt.Sprintf("i-0f00000%d", i+1), service, "zone-a", r.targetAddress(i+1), 3, 0)
		if err != nil {
			return err
		}
		if service == "berth-desk" {
			t.maxFlows = maxFlows
		}
		targets = append(targets, t)
	}
	for i := range 2 {
		if _, err := r.startHost(fmt.Sprintf("front-zone-a-%d", i+1), "zone-a", i+1); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	seen := &resets{rig: r}
	for i := range clients {
		c, err := r.newClient("zone-a", netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}))
		if err != nil {
			return err
		}
		users.Go(func() {
			time.Sleep(time.Duration(i) * 11 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				f, err := c.open(netip.MustParseAddrPort(rosterAddress))
				if err != nil {
					r.logf("client %s: u%d-%d: %v", c.ip, i, n, err)
					continue
				}
				err = f.request(fmt.Sprintf("u%d-%d", i, n), "GET", 20, 1500*time.Millisecond)
				if err == nil {
					err = f.idle(700 * time.Millisecond)
				}
				seen.note(f, fmt.Sprintf("request u%d-%d and a pause", i, n), err)
				if err == nil && !f.finished {
					f.close()
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		routes[0].service = "plan-store"
		if err := r.configure(8, routes, services, 2*time.Second, 0); err != nil {
			return err
		}
		r.logf("the store has accepted version 8: route %s goes to plan-store", rosterAddress)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	users.Wait()
	// effect is when a target of plan-store first took an opening packet of the route, by host.
	effect := map[netip.Addr]time.Time{}
	for _, t := range targets[2:] {
		t.mu.Lock()
		for _, o := range t.opened {
			if at, ok := effect[o.host]; !ok || o.arrived.Before(at) {
				effect[o.host] = o.arrived
			}
		}
		t.mu.Unlock()
	}
	for host, at := range effect {
		r.logf("host %s: a target saw the effect of version 8 at %.3f s", host, at.Sub(r.started).Seconds())
	}
	late := 0
	for _, t := range targets[:2] {
		t.mu.Lock()
		for _, o := range t.opened {
			at, ok := effect[o.host]
			if !ok || o.sent.Sub(at) <= rollbackSlack {
				continue
			}
			late++
			r.logf("target %s of berth-desk took the opening packet of %s (copy %d) from host %s, sent %d ms after the effect of version 8",
				t.name, o.client, o.copies, o.host, o.sent.Sub(at).Milliseconds())
		}
		t.mu.Unlock()
	}
	r.logf("opening packets that went to the former service more than %s after the effect of version 8: %d", rollbackSlack, late)
	fmt.Printf("opening packets that went to the former service too late: %d\n", late)
	for _, t := range targets {
		t.leave()
	}
	if late > 0 {
		return fmt.Errorf("%w: CONFIG: %d flows were opened at the former service, sent more than %s after the effect of the new version", errBroken, late, rollbackSlack)
	}
	return nil
}
