package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// foreignEntry checks ROUTE: no target of a service that no configuration names for a route runs
// requests of the route. The disruption is an entry of another writer in the store, in which
// fields are missing, under the id of a target of the other service.
func foreignEntry(r *rig, trouble bool) error {
	if err := smallDeployment(r, "zone-a", "zone-b"); err != nil {
		return err
	}
	var targets []*target
	for i, service := range []string{"berth-desk", "berth-desk", "plan-store"} {
		t, err := r.newTarget(fmt.Sprintf("i-0d00000%d", i+1), service, "zone-a", r.targetAddress(i+1), 3, 0)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	plans := targets[2]
	if err := r.awaitReady(); err != nil {
		return err
	}
	seen := &resets{rig: r}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for i := range 10 {
		c, err := r.newClient("zone-b", netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}))
		if err != nil {
			return err
		}
		route := confirmAddress
		if i == 9 {
			route = planAddress
		}
		users.Go(func() { quickRequests(c, fmt.Sprintf("u%d", i), route, 50, 200*time.Millisecond, stop, seen) })
	}
	for n := range 3 {
		time.Sleep(5 * time.Second)
		if !trouble {
			continue
		}
		r.logf("another writer's entry %d under servers/%s: no zone, version, warmup_left_ms, sequence or born", n+1, plans.name)
		err := r.store.put("servers/"+plans.name, map[string]any{
			"service": "berth-desk", "address": plans.address.String(), "concurrency": 3, "state": "ready",
		})
		if err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	users.Wait()
	wrong, right := r.runsBy(plans, confirmAddress), r.runsBy(plans, planAddress)
	r.logf("target %s of plan-store ran %d requests of its own route and %d of the unsafe route of berth-desk", plans.name, right, wrong)
	fmt.Printf("requests of the unsafe route of berth-desk that a target of plan-store ran: %d\n", wrong)
	for _, t := range targets {
		t.leave()
	}
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: a target of plan-store ran %d requests of a route that no configuration gave it", errBroken, wrong)
	}
	return nil
}
