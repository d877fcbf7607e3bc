package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeStore simulates the platform's store. It holds the current records by key, and all
// changes in the order of their revisions.
type fakeStore struct {
	revision uint64
	// version is the version of the last configuration.
	version uint64
	records map[string]Change
	history []Change
}

// write adds, replaces or removes the record with the key.
func (store *fakeStore) write(change Change, key string, removed bool) {
	if removed {
		delete(store.records, key)
	} else {
		store.records[key] = change
	}
	store.history = append(store.history, change)
}

// applyRandomChange draws a change and applies it to the store.
func (store *fakeStore) applyRandomChange(t *rapid.T) {
	store.revision++
	name := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
	switch rapid.SampledFrom([]string{"register", "drain", "remove", "configure", "host", "host-gone"}).Draw(t, "change") {
	case "register":
		store.write(registration(store.revision, name), name, false)
	case "drain":
		store.write(drainingRegistration(store.revision, name), name, false)
	case "remove":
		store.write(removal(store.revision, name), name, true)
	case "configure":
		store.version++
		store.write(configuration(store.revision, store.version), "config", false)
	case "host":
		store.write(Change{Revision: store.revision, Host: &Host{Name: name, Joined: store.revision}}, "host-"+name, false)
	default:
		store.write(Change{Revision: store.revision, HostRemoved: name}, "host-"+name, true)
	}
}

// updateSince returns the changes after the position.
func (store *fakeStore) updateSince(position uint64) Update {
	update := Update{Position: store.revision}
	for _, change := range store.history {
		if change.Revision > position {
			update.Changes = append(update.Changes, change)
		}
	}
	return update
}

// listingPage returns all current records as a single page.
func (store *fakeStore) listingPage() Page {
	page := Page{Position: store.revision}
	for _, change := range store.records {
		page.Changes = append(page.Changes, change)
	}
	return page
}

// describeState returns the parts of a catalog's state that must be equal in all
// catalogs with the same position.
func describeState(c *Catalog) string {
	text := fmt.Sprintf("version %d", c.Version())
	c.viewChanged = true
	view, _ := c.TakeView()
	for _, e := range view.Upstreams {
		if e.Presence == Registered {
			text += fmt.Sprintf(" %s draining=%t", e.Name, e.Draining)
		}
	}
	return fmt.Sprint(text, hostNames(view.Hosts))
}

// TestCatalogsConvergeFromAnySource checks that catalogs end up equal if they read
// changes, listings and each other in random order, and that no catalog's configuration
// version ever decreases.
func TestCatalogsConvergeFromAnySource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		store := &fakeStore{revision: 1, records: make(map[string]Change)}
		catalogs := []*Catalog{New(Options{}), New(Options{}), New(Options{})}
		versions := make([]uint64, len(catalogs))
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(catalogs)-1).Draw(t, "catalog")
			c := catalogs[i]
			switch rapid.SampledFrom([]string{"change", "watch", "list", "relay", "relay-all"}).Draw(t, "step") {
			case "change":
				store.applyRandomChange(t)
			case "watch":
				c.Apply(now, store.updateSince(c.Position()))
			case "list":
				c.BeginListing()
				c.AddPage(now, store.listingPage())
			case "relay":
				if update, ok := catalogs[(i+1)%len(catalogs)].ChangesSince(now, c.Have()); ok && !c.Apply(now, update) {
					t.Fatal("the update could not be merged into the catalog that it was made for")
				}
			default:
				if other := catalogs[(i+1)%len(catalogs)]; other.Position() > c.Position() {
					c.BeginListing()
					c.AddPage(now, other.Snapshot(now))
				}
			}
			if c.Version() < versions[i] {
				t.Fatalf("catalog %d reverted from version %d to %d", i, versions[i], c.Version())
			}
			versions[i] = c.Version()
		}
		direct, relayed := catalogs[0], catalogs[1]
		direct.Apply(now, store.updateSince(direct.Position()))
		// Upstreams that lapsed while the catalog read nothing depart after the grace period.
		now = now.Add(2 * RecoveryGracePeriod)
		direct.Apply(now, store.updateSince(direct.Position()))
		fresh := New(Options{})
		fresh.BeginListing()
		fresh.AddPage(now, store.listingPage())
		if update, ok := direct.ChangesSince(now, relayed.Have()); ok {
			relayed.Apply(now, update)
		} else {
			relayed.BeginListing()
			relayed.AddPage(now, direct.Snapshot(now))
		}
		if got, want := describeState(direct), describeState(fresh); got != want {
			t.Fatalf("after watching:\n%s\nafter a listing:\n%s", got, want)
		}
		if got, want := describeState(relayed), describeState(fresh); got != want {
			t.Fatalf("after reading another host:\n%s\nafter a listing:\n%s", got, want)
		}
	})
}

func TestChangesSinceOmitsKnownChanges(t *testing.T) {
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{configuration(5, 1), registration(6, "a")}, Position: 6})
	for position, want := range map[uint64]int{4: 2, 5: 1, 6: 0} {
		update, ok := c.ChangesSince(start, Have{Position: position})
		if !ok || len(update.Changes) != want {
			t.Errorf("%d changes after position %d, want %d", len(update.Changes), position, want)
		}
	}
}

func TestChangesSinceRequiresListingBeforeDroppedRemoval(t *testing.T) {
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{registration(3, "a"), removal(6, "a")}, Position: 6})
	later := start.Add(DepartedRetention + time.Second)
	c.Apply(later, Update{Position: 7})
	if _, ok := c.ChangesSince(later, Have{Position: 5}); ok {
		t.Error("got an update without the dropped removal at 6: a host at 5 would keep the upstream forever")
	}
	if _, ok := c.ChangesSince(later, Have{Position: 6}); !ok {
		t.Error("a host at 6 has already seen the removal and needs no listing")
	}
}
