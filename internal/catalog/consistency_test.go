package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeStore simulates the platform's store, the operator and the upstreams that write to
// it. It holds the current records by key, and all changes in the order of their
// positions.
type fakeStore struct {
	position Position
	records  map[string]Change
	history  []Change
	// version is the version of the last configuration.
	version uint64
	// upstreams holds the upstreams that run, by name.
	upstreams map[string]*Upstream
	// copies are older states of the store.
	copies []fakeStore
	// evacuated are the data centres that the operator wants to be evacuated, and
	// evacuationWrites what the operator wrote about them, oldest first, also what was lost.
	evacuated        map[string]bool
	evacuationWrites []evacuationWrite
	configurationLog
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		position: at(1), records: make(map[string]Change), upstreams: make(map[string]*Upstream),
		evacuated: make(map[string]bool), configurationLog: newConfigurationLog(),
	}
}

// write adds or replaces the record with the key.
func (store *fakeStore) write(change Change, key string) {
	store.position.Revision++
	change.Position = store.position
	store.records[key] = change
	store.history = append(store.history, change)
	store.timelines[store.position.Epoch] = store.history
}

// remove removes the record with the key.
func (store *fakeStore) remove(change Change, key string) {
	store.write(change, key)
	delete(store.records, key)
}

// writeUpstream writes the record of an upstream that runs.
func (store *fakeStore) writeUpstream(u *Upstream) {
	u.Sequence++
	record := *u
	store.write(Change{Upstream: &record}, u.Name)
}

// writeEvacuation writes what the operator wants of the data centre.
func (store *fakeStore) writeEvacuation(dataCentre string) {
	key := "evacuate-" + dataCentre
	change := Change{Evacuation: &EvacuationRecord{DataCentre: dataCentre, Withdrawn: !store.evacuated[dataCentre]}}
	if store.evacuated[dataCentre] {
		store.write(change, key)
	} else if _, ok := store.records[key]; ok {
		store.remove(change, key)
	}
	store.evacuationWrites = append(store.evacuationWrites, evacuationWrite{dataCentre, store.evacuated[dataCentre]})
}

// takeCopy keeps a copy of the store from which it can be restored.
func (store *fakeStore) takeCopy() {
	store.copies = append(store.copies, fakeStore{position: store.position, records: maps.Clone(store.records), history: slices.Clone(store.history)})
}

// restore replaces the store's contents by those of a copy.
func (store *fakeStore) restore(from *fakeStore) {
	epoch := store.position.Epoch + 1
	store.records, store.history = maps.Clone(from.records), slices.Clone(from.history)
	store.position = Position{Epoch: epoch, Revision: from.position.Revision}
	store.copies = nil
	// The store gives all that it holds the number of the new epoch.
	for key, change := range store.records {
		change.Position.Epoch = epoch
		store.records[key] = change
	}
	for i := range store.history {
		store.history[i].Position.Epoch = epoch
	}
	store.timelines[epoch] = store.history
}

// settle makes the operator and the upstreams write again what the store lacks, and
// removes the records of upstreams that no longer run.
func (store *fakeStore) settle() {
	if stored, ok := store.records["config"]; store.version > 0 && (!ok || stored.Configuration.Version < store.version) {
		store.write(store.configuration(store.version), "config")
	}
	for _, name := range slices.Sorted(maps.Keys(store.evacuated)) {
		if _, ok := store.records["evacuate-"+name]; ok != store.evacuated[name] {
			store.writeEvacuation(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(store.upstreams)) {
		u := store.upstreams[name]
		if stored, ok := store.records[name]; !ok || !sameRegistration(stored.Upstream, u) {
			store.writeUpstream(u)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(store.records)) {
		if record := store.records[key]; record.Upstream != nil && store.upstreams[key] == nil {
			store.remove(Change{Removed: key}, key)
		}
	}
}

// applyRandomChange draws a change and applies it to the store.
func (store *fakeStore) applyRandomChange(t *rapid.T) {
	name := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
	u := store.upstreams[name]
	switch rapid.SampledFrom([]string{"register", "drain", "remove", "configure", "host", "host-gone", "evacuate", "evacuate", "copy", "restore", "settle"}).Draw(t, "change") {
	case "register":
		if u == nil {
			u = upstream(name)
			u.Started = start.Add(time.Duration(store.position.Revision+1000*store.position.Epoch) * time.Second)
			store.upstreams[name] = u
		}
		store.writeUpstream(u)
	case "drain":
		if u != nil {
			u.Draining = true
			store.writeUpstream(u)
		}
	case "remove":
		delete(store.upstreams, name)
		if _, ok := store.records[name]; ok {
			store.remove(Change{Removed: name}, name)
		}
	case "configure":
		store.version++
		store.services[store.version] = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "service")
		store.write(store.configuration(store.version), "config")
	case "host":
		store.write(Change{Host: &Host{Name: name, Joined: store.position.Revision + 1}}, "host-"+name)
	case "host-gone":
		if _, ok := store.records["host-"+name]; ok {
			store.remove(Change{HostRemoved: name}, "host-"+name)
		}
	case "evacuate":
		dataCentre := fmt.Sprintf("dc%d", rapid.IntRange(0, 1).Draw(t, "data centre"))
		store.evacuated[dataCentre] = !store.evacuated[dataCentre]
		store.writeEvacuation(dataCentre)
	case "copy":
		store.takeCopy()
	case "restore":
		if n := len(store.copies); n > 0 {
			store.restore(&store.copies[rapid.IntRange(0, n-1).Draw(t, "age")])
		}
	default:
		store.settle()
	}
}

// updateSince returns the changes after the position, or false if the store does not have
// them.
func (store *fakeStore) updateSince(position Position) (Update, bool) {
	update := Update{Position: store.position}
	for _, change := range store.history {
		if change.Position.After(position) {
			update.Changes = append(update.Changes, change)
		}
	}
	return update, position.Revision <= store.position.Revision
}

// secondPage is the first key of the second page of a listing.
const secondPage = "u3"

// listingPage returns the first or the second page of the current records.
func (store *fakeStore) listingPage(second bool) Page {
	page := Page{Position: store.position, Current: true}
	if !second {
		page.Next = secondPage
	}
	for _, key := range slices.Sorted(maps.Keys(store.records)) {
		if (key >= secondPage) == second {
			page.Changes = append(page.Changes, store.records[key])
		}
	}
	return page
}

// read brings the catalog up to date from the store as a feed does: by a watch, or by a
// listing if the store does not have the changes. During a listing, between runs between
// two pages.
func (store *fakeStore) read(c *Catalog, now time.Time, between func()) {
	if c.Complete() {
		if update, ok := store.updateSince(c.Position()); ok && c.Apply(now, update) {
			return
		}
	}
	store.list(c, now, between)
}

// list brings the catalog up to date by a listing. Between its two pages, between runs.
func (store *fakeStore) list(c *Catalog, now time.Time, between func()) {
	for {
		c.BeginListing()
		err := c.AddPage(now, store.listingPage(false))
		between()
		if err == nil {
			err = c.AddPage(now, store.listingPage(true))
		}
		if err == nil {
			return
		}
		between = func() {}
	}
}

// follow brings the catalog up to date from another one as a feed does.
func follow(c, parent *Catalog, now time.Time) bool {
	if !parent.Complete() || c.Position().Epoch > parent.Position().Epoch {
		return true
	}
	if update, ok := parent.ChangesSince(now, c.Have()); ok {
		return c.Apply(now, update)
	}
	c.BeginListing()
	return c.AddPage(now, parent.Snapshot(now)) == nil
}

// describeState returns the parts of a catalog's state that must be equal in all
// catalogs with the same position.
func describeState(c *Catalog) string {
	text := fmt.Sprintf("version %d", c.Version())
	c.viewChanged = true
	view, _ := c.TakeView()
	for _, e := range view.Upstreams {
		if e.Presence == Registered {
			text += fmt.Sprintf(" %s started=%s draining=%t", e.Name, e.Started, e.Draining)
		}
	}
	for _, e := range view.Evacuations {
		text += " evacuated=" + e.DataCentre
	}
	return fmt.Sprint(text, hostNames(view.Hosts))
}

// witness checks, step by step, what must hold for one catalog.
type witness struct {
	catalog *Catalog
	version uint64
	// ended holds the last record of each upstream that the catalog has known to drain or
	// to have left.
	ended map[string]RecordID
	// evacuations checks the evacuations.
	evacuations evacuationOracle
}

func newWitness() *witness {
	return &witness{catalog: New(Options{}), ended: make(map[string]RecordID), evacuations: newEvacuationOracle()}
}

// forgetRemovals forgets the removals that a catalog no longer knows after a pause.
func (w *witness) forgetRemovals(pause time.Duration) {
	if pause < DefaultRetention {
		return
	}
	clear(w.ended)
	for dataCentre, requested := range w.evacuations.inForce {
		if !requested {
			delete(w.evacuations.last, dataCentre)
		}
	}
}

// check reports what the catalog must not do after any step.
func (w *witness) check(t *rapid.T, store *fakeStore) {
	w.evacuations.check(t, w.catalog, store.evacuationWrites)
	if w.catalog.Version() < w.version {
		t.Fatalf("reverted from version %d to %d", w.version, w.catalog.Version())
	}
	w.version = w.catalog.Version()
	overrides := 0
	for name, e := range w.catalog.upstreams {
		if e.override != nil {
			overrides++
		}
		ended, ok := w.ended[name]
		switch {
		case e.RecordID == RecordID{}:
		case e.settled:
			delete(w.ended, name) // the store has kept the record for outdatedRecordLimit
		case e.Presence == Departed || e.Draining:
			if !ok || e.compare(ended) > 0 {
				w.ended[name] = e.RecordID
			}
		case e.Presence == Registered && ok && e.compare(ended) <= 0:
			t.Fatalf("%s is in use again by the record %+v, although it ended after %+v", name, e.RecordID, ended)
		}
	}
	if overrides != w.catalog.overrides {
		t.Fatalf("counted %d overrides, there are %d", w.catalog.overrides, overrides)
	}
}

// TestCatalogsConvergeFromAnySource checks that catalogs end up equal if they read
// changes, listings and each other in random order, while the store is restored from
// copies, that no catalog's configuration version ever decreases, that none uses an
// upstream again that it knew to drain or to have left, unless the store kept its record,
// and that each knows the services of all configurations of the time that it claims to know.
func TestCatalogsConvergeFromAnySource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		store := newFakeStore()
		witnesses := make([]*witness, 3)
		for i := range witnesses {
			witnesses[i] = newWitness()
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(witnesses)-1).Draw(t, "catalog")
			c, parent := witnesses[i].catalog, witnesses[(i+1)%len(witnesses)].catalog
			switch rapid.SampledFrom([]string{"change", "change", "read", "list", "relay", "relay-all", "evacuations", "pause", "start"}).Draw(t, "step") {
			case "change":
				store.applyRandomChange(t)
			case "read":
				store.read(c, now, func() { store.applyRandomChange(t) })
			case "list":
				store.list(c, now, func() { store.applyRandomChange(t) })
			case "relay":
				if !follow(c, parent, now) {
					t.Fatal("the update could not be merged into the catalog that it was made for")
				}
			case "evacuations":
				// The answer of a source that is behind, as after a change of sources.
				if parent.Complete() && !parent.Position().After(c.Position()) {
					c.Apply(now, Update{Position: parent.Position(), Changes: parent.evacuationChanges(now, Have{})})
				}
			case "pause":
				// Nothing is read for so long that tombstones and overrides end.
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					pause := rapid.SampledFrom([]time.Duration{outdatedRecordLimit, DefaultRetention}).Draw(t, "pause")
					now = now.Add(pause + time.Second)
					if pause >= DefaultRetention {
						store.forgottenBelow = store.version
					}
					for _, w := range witnesses {
						w.catalog.expireEntries(now)
						w.check(t, store)
						w.forgetRemovals(pause)
					}
				}
			case "start":
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					witnesses[i] = newWitness()
				}
			default:
				if parent.Position().After(c.Position()) {
					c.BeginListing()
					if err := c.AddPage(now, parent.Snapshot(now)); err != nil {
						t.Fatal(err)
					}
				}
			}
			witnesses[i].check(t, store)
			store.checkHistory(t, witnesses[i].catalog)
		}
		store.settle()
		direct, relayed := witnesses[0].catalog, witnesses[1].catalog
		// Upstreams that lapsed while the catalogs read nothing depart after the grace period.
		for range 2 {
			store.read(direct, now, func() {})
			if !follow(relayed, direct, now) {
				t.Fatal("the last update could not be merged")
			}
			now = now.Add(2 * RecoveryGracePeriod)
		}
		fresh := New(Options{})
		store.read(fresh, now, func() {})
		if direct.Have().Overrides+relayed.Have().Overrides == 0 {
			compareStates(t, direct, relayed, fresh)
		}
		// Of an upstream of which only the removal was known, a host believes a record that
		// the store keeps for long enough.
		now = now.Add(outdatedRecordLimit)
		store.read(direct, now, func() {})
		follow(relayed, direct, now)
		compareStates(t, direct, relayed, fresh)
		started := New(Options{})
		store.read(started, now, func() {})
		checkStartedHost(t, store, direct, started, now)
	})
}

// compareStates checks that a catalog that reads the store, and one that reads that catalog,
// agree with a fresh one.
func compareStates(t *rapid.T, direct, relayed, fresh *Catalog) {
	if got, want := describeState(direct), describeState(fresh); got != want {
		t.Fatalf("after reading the store:\n%s\nafter a listing:\n%s", got, want)
	}
	if got, want := describeState(relayed), describeState(fresh); got != want {
		t.Fatalf("after reading another host:\n%s\nafter a listing:\n%s", got, want)
	}
}

func TestChangesSinceOmitsKnownChanges(t *testing.T) {
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{configuration(5, 1), registration(6, "a")}, Position: at(6)})
	// A host at position 5 or later has version 1.
	for position, want := range map[uint64]int{4: 2, 5: 1, 6: 0} {
		update, ok := c.ChangesSince(start, Have{Position: at(position), Version: position / 5})
		if !ok || len(update.Changes) != want {
			t.Errorf("%d changes after position %d, want %d", len(update.Changes), position, want)
		}
	}
}

func TestChangesSinceRequiresListingBeforeDroppedRemoval(t *testing.T) {
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{registration(3, "a"), removal(6, "a")}, Position: at(6)})
	later := start.Add(DefaultRetention + time.Second)
	c.Apply(later, Update{Position: at(7)})
	if _, ok := c.ChangesSince(later, Have{Position: at(5)}); ok {
		t.Error("got an update without the dropped removal at 6: a host at 5 would keep the upstream forever")
	}
	if _, ok := c.ChangesSince(later, Have{Position: at(6)}); !ok {
		t.Error("a host at 6 has already seen the removal and needs no listing")
	}
}
