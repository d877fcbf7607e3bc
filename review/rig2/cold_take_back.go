package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// coldTakeBack checks FAILBACK: a cold target gets no more opening packets in a second than its
// budget. The disruption is a zone that is emptied and taken back. Its targets have started again
// while it was empty, so they are cold when it is taken back.
func coldTakeBack(r *rig, trouble bool) error {
	const (
		perSecond = 4.0
		cold      = 15 * time.Second
		limit     = perSecond*1.5 + 5
		clients   = 24
		rounds    = 4
		// lead is the time between the targets' entries and the end of the evacuation.
		lead = 100 * time.Millisecond
	)
	if err := r.configure(7, []routeSpec{{address: rosterAddress, kind: "safe", service: "berth-desk", timeout: 1500, priority: 1}}, []string{"berth-desk"}, cold, perSecond); err != nil {
		return err
	}
	var targets []*target
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		t, err := r.newTarget(fmt.Sprintf("i-0e00000%d", i+1), "berth-desk", zone, r.targetAddress(i+1), 3, 0)
		if err != nil {
			return err
		}
		targets = append(targets, t)
		time.Sleep(230 * time.Millisecond) // heartbeats are not in step
	}
	for i, zone := range []string{"zone-a", "zone-a", "zone-b"} {
		if _, err := r.startHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, i+1); err != nil {
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
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			quickRequests(c, fmt.Sprintf("u%d", i), rosterAddress, 20, 180*time.Millisecond, stop, seen)
		})
	}
	time.Sleep(10 * time.Second)
	const evacuation = "op/evacuate/zone-a"
	var returned []*target
	for round := range rounds {
		if trouble {
			if err := r.store.put(evacuation, map[string]any{}); err != nil {
				return err
			}
			r.logf("the store has accepted evacuation %d of zone-a", round+1)
		}
		time.Sleep(4350 * time.Millisecond)
		if trouble {
			for i, t := range targets[:2] {
				t.crash()
				again, err := r.newTarget(t.name, t.service, t.zone, t.address, t.nslots, cold)
				if err != nil {
					return err
				}
				targets[i], returned = again, append(returned, again)
			}
			time.Sleep(lead)
			r.store.remove(evacuation)
			r.logf("the store has accepted that zone-a is taken back")
		}
		time.Sleep(6300 * time.Millisecond)
	}
	close(stop)
	users.Wait()
	worst := 0
	for _, t := range returned {
		t.mu.Lock()
		opened := t.opened
		t.mu.Unlock()
		most, at := busiestSecond(opened, t.born.Add(cold))
		r.logf("cold target %s: %d opening packets; most in a second: %d, from %.3f s on; the limit is %.0f", t.name, len(opened), most, at.Sub(r.started).Seconds(), limit)
		worst = max(worst, most)
	}
	fmt.Printf("most opening packets at a cold target in a second: %d, the limit is %.0f\n", worst, limit)
	if float64(worst) > limit {
		return fmt.Errorf("%w: FAILBACK: %d opening packets in a second, %.0f are the most", errBroken, worst, limit)
	}
	return nil
}

// busiestSecond returns the largest number of opening packets that were sent and arrived in any
// second before the end, and the beginning of that second.
func busiestSecond(opened []opening, end time.Time) (most int, at time.Time) {
	for i := range opened {
		from := opened[i].sent
		n := 0
		for j := range opened {
			if o := &opened[j]; !o.sent.Before(from) && o.arrived.Before(from.Add(time.Second)) && o.arrived.Before(end) {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	return most, at
}
