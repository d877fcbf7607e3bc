package catalog

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// configurationLog holds all configurations that were ever written to a fake store.
type configurationLog struct {
	// services holds the service to which each version routes movedAddress; empty if it
	// has no route.
	services map[uint64]string
	// timelines are the histories of the store by epoch.
	timelines map[uint64][]Change
	// forgottenBelow is the version below which all configurations were replaced longer ago
	// than the retention.
	forgottenBelow uint64
}

func newConfigurationLog() configurationLog {
	return configurationLog{services: make(map[uint64]string), timelines: make(map[uint64][]Change)}
}

// configuration returns the write of the version.
func (l *configurationLog) configuration(version uint64) Change {
	return routed(Position{}, version, l.services[version])
}

// servicesBetween returns the services of the configurations that were in force in the
// epoch at or after the position from, and written up to the position to.
func (l *configurationLog) servicesBetween(from, to Position) []string {
	var services []string
	for _, change := range l.timelines[to.Epoch] {
		if change.Configuration == nil || change.Position.After(to) {
			continue
		}
		if !change.Position.After(from) {
			services = services[:0] // a later one was in force at from
		}
		if version := change.Configuration.Version; version >= l.forgottenBelow {
			services = append(services, l.services[version])
		}
	}
	return services
}

// checkHistory checks that the catalog allows the services of all configurations that it
// claims to know, and none that no configuration had.
func (l *configurationLog) checkHistory(t *rapid.T, c *Catalog) {
	view := viewOf(c)
	if c.Complete() && c.historyFrom.Epoch == c.position.Epoch {
		for _, service := range l.servicesBetween(c.historyFrom, c.position) {
			if service != "" && !allows(&view, service) {
				t.Fatalf("service %q was configured between %+v and %+v, but the catalog has version %d and former %+v",
					service, c.historyFrom, c.position, c.Version(), c.former)
			}
		}
	}
	for key := range c.former {
		known := false
		for _, service := range l.services {
			known = known || service == key.service
		}
		if !known || key.address != movedAddress {
			t.Fatalf("no configuration had %+v", key)
		}
	}
}

// allows reports whether the view's configuration or an earlier one has the service.
func allows(view *View, service string) bool {
	if view.Former.Has(movedAddress, service) {
		return true
	}
	return view.Configuration != nil && slices.ContainsFunc(view.Configuration.Routes, func(r Route) bool { return r.HasService(service) })
}

// checkStartedHost checks that a host which has read only a listing knows as much as one
// that has run for longer, once it has read that host.
func checkStartedHost(t *rapid.T, l *fakeStore, running, started *Catalog, now time.Time) {
	if !follow(started, running, now) {
		t.Fatal("an update could not be merged into the catalog that it was made for")
	}
	if started.historyFrom.After(running.historyFrom) {
		t.Fatalf("history from %+v, the other host's from %+v", started.historyFrom, running.historyFrom)
	}
	l.checkHistory(t, started)
	view, want := viewOf(started), viewOf(running)
	for _, service := range []string{"a", "b", "c"} {
		if allows(&want, service) && !allows(&view, service) {
			t.Fatalf("a started host does not know the former service %q", service)
		}
	}
	for _, e := range want.Upstreams {
		if !slices.ContainsFunc(view.Upstreams, func(other Entry) bool { return other.Name == e.Name }) {
			t.Fatalf("a started host does not know the token of %s, which is %s", e.Name, e.Presence)
		}
	}
}
