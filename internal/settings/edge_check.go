package settings

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// maxMemoryMB is the maximum of the memory setting in MB. It equals 1 TB.
const maxMemoryMB = 1 << 20

// maxSeeds is the maximum number of seeds.
const maxSeeds = 3

// maxBandwidth is the maximum of the bandwidth setting in Mbit/s.
const maxBandwidth = 1_000_000

// Check returns an error that lists every invalid setting with a remedy, or nil if all
// are valid.
func (s *Edge) Check() error {
	c := &checker{}
	c.name("id", s.Host.ID)
	c.name("data_centre", s.Host.DataCentre)
	c.listenAddress("packet", s.Listen.Packet)
	c.listenAddress("peer", s.Listen.Peer)
	c.listenAddress("ready", s.Listen.Ready)
	c.storeAddress("address", s.Store.Address)
	if s.Listen.Seed.IsValid() {
		c.listenAddress("seed", s.Listen.Seed)
	}
	for _, address := range s.Store.Seeds {
		c.storeAddress("seeds", address)
	}
	if len(s.Store.Seeds) > maxSeeds {
		c.report("store", "seeds", fmt.Sprintf("%d addresses are too many", len(s.Store.Seeds)), fmt.Sprintf("write at most %d", maxSeeds))
	}
	c.intInRange("flows", int64(s.Limits.Flows), minFlows, maxFlows)
	c.duration("limits", "flow_age", s.Limits.FlowAge)
	c.intInRange("memory", int64(s.Limits.Memory), 0, maxMemoryMB)
	if len(s.Store.ApplyWithin) == 0 {
		c.report("store", "apply_within", "no duration is given", "write a duration such as 3s")
	}
	for _, d := range s.Store.ApplyWithin {
		c.duration("store", "apply_within", d)
	}
	c.duration("store", "history", s.Store.History)
	if !(s.Limits.Bandwidth >= 0 && s.Limits.Bandwidth <= maxBandwidth) {
		c.report("limits", "bandwidth", fmt.Sprintf("%g is out of range", s.Limits.Bandwidth), fmt.Sprintf("write 0 to %g Mbit/s", float64(maxBandwidth)))
	}
	s.Warmup.check(c)
	c.positive("log", "lines_per_second", s.Log.LinesPerSecond)
	c.positive("log", "bytes_per_second", s.Log.BytesPerSecond)
	c.duration("stop", "time_limit", s.Stop.TimeLimit)
	c.zones(s.Zones)
	return c.problems.Err()
}

// listenAddress checks an address at which this host listens.
func (c *checker) listenAddress(key string, address netip.AddrPort) {
	if !canListen(address) {
		c.unusableAddress("listen", key, address)
	}
}

// storeAddress checks an address of section store, to which this host connects.
func (c *checker) storeAddress(key string, address netip.AddrPort) {
	if !canListen(address) || address.Port() == 0 {
		c.unusableAddress("store", key, address)
	}
}

func (c *checker) unusableAddress(section, key string, address netip.AddrPort) {
	c.report(section, key, fmt.Sprintf("%s is not a usable address", address), "write IP:port, such as 10.20.1.1:7401")
}

// positive checks that a number is above 0 and finite.
func (c *checker) positive(section, key string, value float64) {
	if !(value > 0) || math.IsInf(value, 1) {
		c.report(section, key, fmt.Sprintf("%g is out of range", value), "write a number above 0")
	}
}

// ShortestApplyWithin returns the shortest time within which a change must take
// effect. It panics if ApplyWithin is empty, which Check rejects.
func (s *Store) ShortestApplyWithin() time.Duration { return slices.Min(s.ApplyWithin) }
