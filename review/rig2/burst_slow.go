package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// burstSlow checks FLOW while many users come at once. Most downloads of a service take some
// milliseconds, some take 2 s. The usual users leave slots free on each target; in a burst there
// are 2.5 times as many, and all slots of a target are busy.
func burstSlow(r *rig, trouble bool) error {
	const (
		rosterUsers                = 6
		quickUsers, moreQuickUsers = 6, 9
		slowUsers, moreSlowUsers   = 2, 3
		burst                      = 6 * time.Second
		bursts                     = 5
	)
	if err := smallDeployment(r, "zone-a", "zone-b"); err != nil {
		return err
	}
	var targets []*target
	for i := range 4 {
		service := "berth-desk"
		if i >= 2 {
			service = "plan-store"
		}
		t, err := r.newTarget(fmt.Sprintf("i-0c00000%d", i+1), service, "zone-a", r.targetAddress(i+1), 3, 0)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	seen := &resets{rig: r}
	clients := 0
	var users sync.WaitGroup
	// start lets users of rosters, of quick downloads and of slow ones begin. They end once stop
	// is closed.
	start := func(name string, rosterUsers, quickUsers, slowUsers int, stop <-chan struct{}) error {
		for i := range rosterUsers + quickUsers + slowUsers {
			clients++
			c, err := r.newClient("zone-a", netip.AddrFrom4([4]byte{127, 0, 2, byte(clients)}))
			if err != nil {
				return err
			}
			users.Go(func() {
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				switch {
				case i < rosterUsers:
					quickRequests(c, fmt.Sprintf("%s-roster%d", name, i), rosterAddress, 50, 300*time.Millisecond, stop, seen)
				case i < rosterUsers+quickUsers:
					quickRequests(c, fmt.Sprintf("%s-plan%d", name, i), planAddress, 5, 400*time.Millisecond, stop, seen)
				default:
					slowDownloads(c, fmt.Sprintf("%s-slow%d", name, i), stop, seen)
				}
			})
		}
		return nil
	}
	stop := make(chan struct{})
	if err := start("usual", rosterUsers, quickUsers, slowUsers, stop); err != nil {
		return err
	}
	for n := range bursts {
		time.Sleep(7 * time.Second)
		stopBurst := make(chan struct{})
		if trouble {
			r.logf("burst %d: 2.5 times the usual users of downloads for %s", n+1, burst)
			if err := start(fmt.Sprintf("burst%d", n+1), 0, moreQuickUsers, moreSlowUsers, stopBurst); err != nil {
				return err
			}
		}
		time.Sleep(burst)
		close(stopBurst)
		r.logf("end of burst %d", n+1)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	users.Wait()
	r.logf("all targets still run; resets of open flows by hosts: %d", seen.count())
	fmt.Printf("resets of open flows by hosts: %d\n", seen.count())
	for _, t := range targets {
		t.leave()
	}
	if seen.count() > 0 {
		return fmt.Errorf("%w: FLOW: hosts reset %d open flows of live targets", errBroken, seen.count())
	}
	return nil
}

// slowDownloads sends a download of 2 s, a flow each, every 2.2 s.
func slowDownloads(c *client, name string, stop <-chan struct{}, seen *resets) {
	for n := 0; ; n++ {
		f, err := c.open(netip.MustParseAddrPort(planAddress))
		if err != nil {
			c.rig.logf("client %s: slow download: %v", c.ip, err)
		} else {
			err = f.request(fmt.Sprintf("%s-%d", name, n), "GET", 2000, 3*time.Second)
			seen.note(f, "download of 2 s", err)
			if (err == nil || errors.Is(err, errRejected)) && !f.finished {
				f.close()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
