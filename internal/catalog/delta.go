package catalog

import (
	"net/netip"
	"reflect"
	"slices"
	"time"
)

// maxRecentConfigurations is the number of adopted configurations kept as bases for
// deltas. Another host reads often enough that at most about ten configurations are
// adopted between two of its reads.
const maxRecentConfigurations = 16

// Delta is the difference between two configurations. Routes are matched by address.
type Delta struct {
	// Base is the version that the delta applies to, Version the resulting one.
	Base, Version uint64
	// Changed holds new and modified routes, Removed the addresses of deleted ones.
	Changed []Route
	Removed []netip.AddrPort
	// HealthPaths, Warmups and IdleTimeout are complete and replace those of the base.
	HealthPaths map[string]string
	Warmups     map[string]Warmup
	IdleTimeout time.Duration
}

// newDelta returns the delta that turns base into target.
func newDelta(base, target *Configuration) *Delta {
	d := &Delta{Base: base.Version, Version: target.Version, HealthPaths: target.HealthPaths, Warmups: target.Warmups, IdleTimeout: target.IdleTimeout}
	baseRoutes := make(map[netip.AddrPort]*Route, len(base.Routes))
	for i := range base.Routes {
		baseRoutes[base.Routes[i].Address] = &base.Routes[i]
	}
	for i := range target.Routes {
		r := &target.Routes[i]
		if old := baseRoutes[r.Address]; old == nil || !reflect.DeepEqual(*old, *r) {
			d.Changed = append(d.Changed, *r)
		}
		delete(baseRoutes, r.Address)
	}
	for address := range baseRoutes {
		d.Removed = append(d.Removed, address)
	}
	slices.SortFunc(d.Removed, netip.AddrPort.Compare)
	return d
}

// apply returns the configuration that results from applying the delta to base.
func (d *Delta) apply(base *Configuration) *Configuration {
	replaced := make(map[netip.AddrPort]struct{}, len(d.Changed)+len(d.Removed))
	for i := range d.Changed {
		replaced[d.Changed[i].Address] = struct{}{}
	}
	for _, address := range d.Removed {
		replaced[address] = struct{}{}
	}
	result := &Configuration{Version: d.Version, HealthPaths: d.HealthPaths, Warmups: d.Warmups, IdleTimeout: d.IdleTimeout}
	for _, r := range base.Routes {
		if _, overridden := replaced[r.Address]; !overridden {
			result.Routes = append(result.Routes, r)
		}
	}
	result.Routes = append(result.Routes, d.Changed...)
	return result
}

// addRecentConfiguration keeps an adopted configuration as a base for deltas and drops
// the oldest one if there are too many.
func (c *Catalog) addRecentConfiguration(configuration *Configuration) {
	c.recentConfigurations = append(c.recentConfigurations, configuration)
	if len(c.recentConfigurations) > maxRecentConfigurations {
		c.recentConfigurations = slices.Delete(c.recentConfigurations, 0, 1)
	}
}

// configurationChange returns the current configuration as a change for a host that
// has the given version: a delta if that version is still known, otherwise the whole
// configuration.
func (c *Catalog) configurationChange(version uint64) Change {
	for _, base := range c.recentConfigurations {
		if base.Version == version {
			return Change{Position: c.configurationPosition, Override: c.configurationOverride, Delta: newDelta(base, c.configuration)}
		}
	}
	return Change{Position: c.configurationPosition, Override: c.configurationOverride, Configuration: c.configuration}
}

// adoptDelta adopts the result of applying the delta to the current configuration. It
// returns false if the current configuration is not the delta's base.
func (c *Catalog) adoptDelta(now time.Time, change *Change) bool {
	d := change.Delta
	if d.Version <= c.Version() {
		return true
	}
	if c.configuration == nil || d.Base != c.Version() {
		return false
	}
	c.adoptConfiguration(now, d.apply(c.configuration), change)
	return true
}
