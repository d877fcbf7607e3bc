package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// namesIn returns the names of the upstreams and hosts in the changes.
func namesIn(changes []Change) []string {
	var names []string
	for _, change := range changes {
		name := change.Removed + change.HostRemoved
		if change.Upstream != nil {
			name = change.Upstream.Name
		} else if change.Host != nil {
			name = change.Host.Name
		}
		names = append(names, name)
	}
	return names
}

// lackedNames returns the names of the hosts and upstreams that a host at the position lacks,
// by a scan of all records.
func lackedNames(c *Catalog, position Position) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if c.hosts[name].position.After(position) {
			names = append(names, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		if e := c.upstreams[name]; e.position.After(position) || e.departureInferred && e.position == position || e.override != nil {
			names = append(names, name)
		}
	}
	return names
}

// TestChangesSinceReturnsAllThatIsLacked guards against a change that the order of changes
// misses, after which followers would keep an outdated record for good. Records change in
// changes, listings, outages and restores, in any order of positions.
func TestChangesSinceReturnsAllThatIsLacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now, epoch := New(Options{Retention: 30 * time.Second}), start, uint64(0)
		position := func() Position {
			return Position{Epoch: epoch, Revision: rapid.Uint64Range(1, 60).Draw(t, "revision")}
		}
		draw := func() Change {
			name := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "name"))
			return rapid.SampledFrom([]Change{
				{Upstream: upstream("u-" + name)}, {Removed: "u-" + name}, {Host: &Host{Name: "h-" + name}}, {HostRemoved: "h-" + name},
			}).Draw(t, "change")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var changes []Change
			for range rapid.IntRange(0, 8).Draw(t, "changes") {
				change := draw()
				change.Position = position()
				changes = append(changes, change)
			}
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				epoch++
				fallthrough
			case 1:
				c.BeginListing()
				_ = c.AddPage(now, Page{Position: position(), Current: true, Changes: changes}) // its epoch is current
			default:
				c.Apply(now, Update{Position: position(), Changes: changes})
			}
			from := position()
			if got, want := namesIn(c.changesAfter(now, Have{Position: from, HistoryFrom: c.historyFrom})), lackedNames(c, from); !slices.Equal(got, want) {
				t.Fatalf("after %+v: got %v, want %v", from, got, want)
			}
			if limit := max(minOrderItems, 2*len(c.upstreams)); len(c.upstreamOrder.items) > limit {
				t.Fatalf("%d items are kept for %d upstreams", len(c.upstreamOrder.items), len(c.upstreams))
			}
		}
	})
}

// BenchmarkChangesSince measures the call of a follower that lacks the given number of
// heartbeats, in a deployment of 3,300 upstreams and 430 hosts.
func BenchmarkChangesSince(b *testing.B) {
	const upstreams, hosts = 3300, 430
	c := New(Options{})
	applyListing(c, start, 1, configuration(1, 1))
	var update Update
	for i := range uint64(hosts) {
		update.Changes = append(update.Changes, Change{Position: at(i + 2), Host: &Host{Name: fmt.Sprintf("h-%d", i)}})
	}
	for i := range uint64(upstreams) {
		update.Changes = append(update.Changes, registration(hosts+i+2, fmt.Sprintf("u-%d", i)))
	}
	last := uint64(hosts + upstreams + 1)
	update.Position = at(last)
	c.Apply(start, update)
	for _, lacking := range []uint64{0, 1, 100} {
		b.Run(fmt.Sprintf("lacking=%d", lacking), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				update, known := c.ChangesSince(start, Have{Position: at(last - lacking), Version: 1, HistoryFrom: c.historyFrom})
				if !known || uint64(len(update.Changes)) != lacking {
					b.Fatalf("got %d changes, want %d", len(update.Changes), lacking)
				}
			}
		})
	}
}
