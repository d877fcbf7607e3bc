package experiment

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// nextServiceName is the service to which the pattern route-moved moves the routes.
const nextServiceName = "desk-next"

// configuration is the operator's configuration, and what hosts know of earlier ones.
type configuration struct {
	service string
	version uint64
	// catalog derives the former services of routes, which former holds. Hosts that start
	// learn them from the snapshot in the store or from each other.
	catalog *catalog.Catalog
	former  *catalog.FormerServices
	// forgotten is set to measure hosts that know only the newest configuration when they
	// start.
	forgotten bool
}

func newConfiguration() configuration {
	return configuration{service: serviceName, version: 1, catalog: catalog.New(catalog.Options{})}
}

// view returns a view of the configuration without upstreams.
func (c *configuration) view(sim *simulation) catalog.View {
	o, shares := &sim.options, []catalog.Share{{Service: c.service, Weight: 1}}
	current := &catalog.Configuration{Version: c.version, IdleTimeout: 15 * time.Second, Routes: []catalog.Route{
		{Name: "watch", Address: repeatableAddress, Shares: shares, Repeatable: true, Priority: repeatablePriority, Objective: o.Objective, Timeout: o.Timeout},
		{Name: "order", Address: nonRepeatableAddress, Shares: shares, Priority: nonRepeatablePriority, Objective: o.Objective, Timeout: o.Timeout},
	}}
	position := catalog.Position{Revision: c.version}
	c.catalog.Apply(sim.now, catalog.Update{Position: position, Changes: []catalog.Change{{Position: position, Configuration: current}}})
	if view, changed := c.catalog.TakeView(); changed {
		c.former = view.Former
	}
	if c.forgotten {
		return catalog.View{Configuration: current}
	}
	return catalog.View{Configuration: current, Former: c.former}
}

// restartOutage is how long a host forwards nothing in a rolling restart.
const restartOutage = 300 * time.Millisecond

// routeMoved adds upstreams of another service, moves all routes to it, and restarts the
// hosts one after the other. The upstreams of the former service serve their open flows.
func routeMoved(sim *simulation) {
	sim.at(patternStart, func() {
		sim.configured.service, sim.configured.version = nextServiceName, sim.configured.version+1
		for _, u := range sim.upstreams[:len(sim.upstreams):len(sim.upstreams)] {
			sim.addUpstream(u.dc, false)
		}
		sim.updateAllViews(propagationDelay)
	})
	for i, h := range sim.hosts {
		restart := patternStart + propagationDelay + time.Duration(1+i)*2*time.Second
		sim.at(restart, func() { h.down = true })
		sim.at(restart+restartOutage, func() {
			h.down = false
			sim.startHost(h)
		})
	}
}
