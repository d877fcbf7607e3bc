package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// sheet is a small deployment as the users' sheets describe it.
type sheet struct {
	region string
	zones  []string
	// hosts, and targets of the two services, in each zone.
	hosts, desk, files []int
	deskName, fileName string
	routes             []routeEntry
	slots              int
	// clientsPerZone is the number of client addresses in each zone.
	clientsPerZone int
}

// kowhaiCalls is the deployment of sites/kowhai-calls.
var kowhaiCalls = sheet{
	region: "nz-north", zones: []string{"akl-a", "akl-b", "ham-a", "tga-a"}, hosts: []int{2, 1, 1, 1}, desk: []int{4, 4, 3, 3}, files: []int{1, 1, 1, 1},
	deskName: "call-desk", fileName: "summary-store", slots: 2, clientsPerZone: 25,
	routes: []routeEntry{
		{name: "live-call", kind: "safe", timeout: 1200, aim: 120, priority: 2},
		{name: "session-booking", kind: "unsafe", timeout: 1500, aim: 150, priority: 1},
		{name: "summary-download", kind: "download", timeout: 5000, aim: 500, priority: 2},
	},
}

// swanregLB is the deployment of further/swanreg-lb.
var swanregLB = sheet{
	region: "perth", zones: []string{"perth-osborne", "perth-malaga", "perth-kewdale"}, hosts: []int{2, 1, 1}, desk: []int{5, 5, 4}, files: []int{2, 1, 1},
	deskName: "mailroom-api", fileName: "scan-vault", slots: 2, clientsPerZone: 33,
	routes: []routeEntry{
		{name: "mail-notice", kind: "safe", timeout: 2000, aim: 120, priority: 2},
		{name: "redirect-lodge", kind: "unsafe", timeout: 2500, aim: 150, priority: 1},
		{name: "scan-fetch", kind: "download", timeout: 8000, aim: 500, priority: 2},
	},
}

// Indices of the routes of a sheet.
const (
	feedRoute = iota
	submitRoute
	fileRoute
)

// setUp starts the deployment and waits until its hosts are ready.
func (r *rig) setUp(s sheet) error {
	r.zones, r.region, r.routes = s.zones, s.region, s.routes
	addresses := []string{"198.18.0.1:8443", "198.18.0.1:8080", "198.18.0.2:8443"}
	for i := range r.routes {
		r.routes[i].service = s.deskName
		r.routes[i].address = netip.MustParseAddrPort(addresses[i])
	}
	r.routes[fileRoute].service = s.fileName
	if err := r.addTargets(s.deskName, s.slots, 0, s.desk...); err != nil {
		return err
	}
	if err := r.addTargets(s.fileName, s.slots, 100, s.files...); err != nil {
		return err
	}
	r.publish(service(s.deskName), service(s.fileName))
	if err := r.addHosts(s.hosts...); err != nil {
		return err
	}
	if err := r.addClients(s.clientsPerZone); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// deadline returns the time after which clients give up a request of the route.
func (e *routeEntry) deadline() time.Duration { return time.Duration(e.timeout) * time.Millisecond }

// feeds keeps flows of the safe route open, perClient for each client, with pauses between
// requests from least to most.
func (r *rig) feeds(ctx context.Context, group *sync.WaitGroup, perClient int, least, most time.Duration) {
	for i, c := range r.clients {
		for j := range perClient {
			group.Go(func() {
				sleep(ctx, rand.N(6*time.Second))
				keepFeed(ctx, c, fmt.Sprintf("feed-%d-%d", i, j), least, most)
			})
		}
	}
}

// keepFeed sends requests of the safe route with pauses between, on one flow for as long as it
// lives.
func keepFeed(ctx context.Context, c *client, name string, least, most time.Duration) {
	route := &c.rig.routes[feedRoute]
	var f *clientFlow
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("%s-%d", name, n)
		if f == nil {
			var o outcome
			if f, o = c.open(ctx, route.address); f == nil {
				if ctx.Err() == nil {
					c.rig.ended(text, o)
				}
				sleep(ctx, time.Second)
				continue
			}
		}
		o := c.request(ctx, f, text, route.deadline())
		if ctx.Err() != nil {
			return
		}
		c.rig.ended(text, o)
		if o != answered {
			f = nil // the next try takes a new flow
			continue
		}
		pause := least + rand.N(most-least)
		if f.closing {
			c.finish(f)
			f = nil
			sleep(ctx, pause)
		} else if !c.idle(ctx, f, pause) {
			f = nil
		}
	}
}

// submits sends requests of the unsafe route, a flow each, at the rate per second.
func (r *rig) submits(ctx context.Context, group *sync.WaitGroup, rate float64) {
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			sleep(ctx, time.Duration(rand.ExpFloat64()/rate*float64(time.Second)))
			c := r.clients[rand.IntN(len(r.clients))]
			text := fmt.Sprintf("%s%d", submitPrefix, n)
			group.Go(func() { r.submit(ctx, c, text) })
		}
	})
}

func (r *rig) submit(ctx context.Context, c *client, text string) {
	route := &r.routes[submitRoute]
	f, o := c.open(ctx, route.address)
	if f != nil {
		o = c.request(ctx, f, text, route.deadline())
		if o == answered {
			c.finish(f)
		}
	}
	if ctx.Err() == nil {
		r.ended(text, o)
	}
}

// submitPrefix begins the names of requests of the unsafe route.
const submitPrefix = "submit-"

// sleep waits for the time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
