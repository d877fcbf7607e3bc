package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	rosterAddress  = "198.18.0.1:8443"
	planAddress    = "198.18.0.2:8443"
	confirmAddress = "198.18.0.1:8080"
)

// smallDeployment starts hosts in the zones, and writes the routes and services of the cases on
// resets.
func smallDeployment(r *rig, zones ...string) error {
	err := r.configure(7, []routeSpec{
		{address: rosterAddress, kind: "safe", service: "berth-desk", timeout: 1500, priority: 2},
		{address: planAddress, kind: "download", service: "plan-store", timeout: 3000, priority: 2},
		{address: confirmAddress, kind: "unsafe", service: "berth-desk", timeout: 2000, priority: 1},
	}, []string{"berth-desk", "plan-store"}, 2*time.Second, 0)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		if _, err := r.startHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, i+1); err != nil {
			return err
		}
	}
	return nil
}

// resets are the resets of open flows by hosts.
type resets struct {
	rig *rig
	mu  sync.Mutex
	n   int
}

// note records the end of a request, or of an idle time, of an open flow. A reset by a host
// breaks the rule: all targets live, and nothing harms them or their links.
func (n *resets) note(f *flow, what string, err error) {
	n.rig.logf("client %s: flow %s at target %s: %s: %v", f.client.ip, f.local, f.target, what, err)
	var reset *resetError
	if errors.As(err, &reset) && reset.bySystem {
		n.mu.Lock()
		n.n++
		n.mu.Unlock()
	}
}

func (n *resets) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.n
}

// drainSlow checks FLOW while a target drains, with no other disruption: two of its flows have a
// request that takes 1.2 s, the other ones are idle.
func drainSlow(r *rig, trouble bool) error {
	if err := smallDeployment(r, "zone-a", "zone-a"); err != nil {
		return err
	}
	var targets []*target
	for i := range 3 {
		t, err := r.newTarget(fmt.Sprintf("i-0b00000%d", i+1), "berth-desk", "zone-a", r.targetAddress(i+1), 3, 0)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	seen := &resets{rig: r}
	stop := make(chan struct{})
	var group sync.WaitGroup
	const clients = 12
	all := make([]*client, clients)
	for i := range all {
		var err error
		if all[i], err = r.newClient("zone-a", netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)})); err != nil {
			return err
		}
	}
	// Quick requests, a flow each, on half of the clients.
	for i, c := range all[:clients/2] {
		group.Go(func() { quickRequests(c, fmt.Sprintf("q%d", i), rosterAddress, 50, 300*time.Millisecond, stop, seen) })
	}
	time.Sleep(3 * time.Second)
	// Long flows on the others.
	departing := targets[0]
	byHost := map[netip.AddrPort][]*flow{}
	for i := range 60 {
		f, err := all[clients/2+i%(clients/2)].open(netip.MustParseAddrPort(rosterAddress))
		if err != nil {
			r.logf("long flow %d: %v", i, err)
			continue
		}
		err = f.request(fmt.Sprintf("first-%d", i), "GET", 50, 1500*time.Millisecond)
		seen.note(f, "first request", err)
		if err != nil {
			continue
		}
		if f.target != departing.address.Addr() {
			f.close()
			continue
		}
		host, _ := r.route("zone-a", f.local, f.route)
		byHost[host] = append(byHost[host], f)
	}
	var flows []*flow
	for _, list := range byHost {
		if len(list) > len(flows) {
			flows = list
		}
	}
	if len(flows) < 4 {
		return errors.New("too few flows at one target through one host")
	}
	r.logf("%d long flows at target %s through one host", len(flows), departing.name)
	if trouble {
		departing.drain()
	}
	time.Sleep(2 * time.Second)
	for i, f := range flows {
		group.Go(func() {
			if i < 2 {
				seen.note(f, "request of 1.2 s", f.request(fmt.Sprintf("slow-%d", i), "GET", 1200, 1500*time.Millisecond))
				return
			}
			seen.note(f, "idle for 1.5 s", f.idle(1500*time.Millisecond))
		})
	}
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	group.Wait()
	r.logf("all targets still run; resets of open flows by hosts: %d", seen.count())
	fmt.Printf("resets of open flows by hosts: %d\n", seen.count())
	for _, t := range targets {
		t.leave()
	}
	if seen.count() > 0 {
		return fmt.Errorf("%w: FLOW: hosts reset %d open flows of a live target", errBroken, seen.count())
	}
	return nil
}

// quickRequests sends requests, a flow each, with the pause between them.
func quickRequests(c *client, name, route string, workMillis int, pause time.Duration, stop <-chan struct{}, seen *resets) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		f, err := c.open(netip.MustParseAddrPort(route))
		if err != nil {
			c.rig.logf("client %s: %s-%d: %v", c.ip, name, n, err)
			continue
		}
		err = f.request(fmt.Sprintf("%s-%d", name, n), "GET", workMillis, 1500*time.Millisecond)
		seen.note(f, "quick request", err)
		if (err == nil || errors.Is(err, errRejected)) && !f.finished {
			f.close()
		}
	}
}
