package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawConfiguration draws a configuration from a small set of addresses, so that two
// drawn configurations overlap.
func drawConfiguration(t *rapid.T, version uint64) *Configuration {
	c := &Configuration{Version: version, HealthPaths: map[string]string{"desk": "/health"}}
	if rapid.Bool().Draw(t, "warms up") {
		c.Warmups = map[string]Warmup{"a": {PerSecond: float64(rapid.IntRange(1, 3).Draw(t, "per second"))}}
	}
	for port := range uint16(8) {
		if rapid.Bool().Draw(t, "has") {
			c.Routes = append(c.Routes, Route{
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 8000+port),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Shares:   []Share{{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Weight: 1}},
				// The list is nil in some, as after an encoding, which does not keep empty ones.
				AllowedRegions: rapid.SampledFrom([][]string{nil, {"r1"}, {"r1", "r2"}}).Draw(t, "regions"),
			})
		}
	}
	return c
}

func byAddress(a, b Route) int { return a.Address.Compare(b.Address) }

func TestDeltaYieldsTargetConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfiguration(t, 3), drawConfiguration(t, 7)
		got := newDelta(before, after).apply(before)
		slices.SortFunc(got.Routes, byAddress)
		if got.Version != 7 || !maps.Equal(got.Warmups, after.Warmups) || !slices.EqualFunc(got.Routes, after.Routes, func(a, b Route) bool {
			return a.Address == b.Address && a.Priority == b.Priority && slices.Equal(a.Shares, b.Shares) && slices.Equal(a.AllowedRegions, b.AllowedRegions)
		}) {
			t.Fatalf("got %+v, want %+v", got, after)
		}
	})
}

func TestDeltaWithUnknownBaseRequiresListing(t *testing.T) {
	leader, follower := New(Options{}), New(Options{})
	leader.Apply(start, Update{Changes: []Change{configuration(5, 1), configuration(6, 2)}, Position: at(6)})
	update, ok := leader.ChangesSince(start, Have{Position: at(5), Version: 1})
	if !ok || update.Changes[0].Delta == nil {
		t.Fatalf("want a delta, got %+v", update)
	}
	if follower.Apply(start, update) {
		t.Error("a delta was merged without its base")
	}
	if follower.Complete() {
		t.Error("the position advanced past a change that was not merged")
	}
	last := uint64(3 + maxRecentConfigurations)
	for version := uint64(3); version <= last; version++ {
		leader.Apply(start, Update{Changes: []Change{configuration(4+version, version)}, Position: at(4 + version)})
	}
	update, _ = leader.ChangesSince(start, Have{Position: at(6), Version: 2})
	if !follower.Apply(start, update) || follower.Version() != last {
		t.Error("a host with a version that is no longer known must get the whole configuration")
	}
}
