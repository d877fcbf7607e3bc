package catalog

import "time"

// Change is one record of the store that was written or removed, in decoded form. Exactly
// one of Configuration, Delta, Upstream, Removed, Host, HostRemoved, PeerKey, Snapshot and
// Evacuation is set.
type Change struct {
	// Position is where the store made the change.
	Position Position
	// Override is set if the sending host knows better than the store, whose record at
	// Position comes from an older copy. The change then replaces that record.
	Override bool
	// Stored is the store's record of an upstream with an override.
	Stored *Upstream
	// Configuration is a new configuration.
	Configuration *Configuration
	// Delta is a new configuration as a difference from an earlier one.
	Delta *Delta
	// Upstream is an upstream's new registration.
	Upstream *Upstream
	// Removed is the name of an upstream whose registration was removed. LastRecord
	// identifies its last record; it is zero if the source does not know it.
	Removed    string
	LastRecord RecordID
	// LastRegistration is that upstream's last registration without its name and record
	// ID, and RemovedAge the time since it ended. The store tells neither.
	LastRegistration *Upstream
	RemovedAge       time.Duration
	// Lapsed is set together with Removed if the registration expired during a store
	// outage, so that the upstream may register again.
	Lapsed bool
	// Host is an entry host's new registration.
	Host *Host
	// HostRemoved is the name of an entry host whose registration was removed.
	HostRemoved string
	// PeerKey is the secret shared by all entry hosts of the deployment.
	PeerKey []byte
	// Snapshot is a snapshot that was written; zero if it was removed.
	Snapshot *StoredSnapshot
	// Evacuation is the request to evacuate a data centre, or its removal.
	Evacuation *EvacuationRecord
}

// StoredSnapshot describes the snapshot of a catalog in the store.
type StoredSnapshot struct {
	// Written is the position of its write; its revision is zero if there is none.
	Written Position
	// Have is the state of the catalog in it; zero if it is not valid.
	Have
}

// Have describes how far a host's state is complete, so that a source sends only the
// changes that the host lacks.
type Have struct {
	// Position is the position up to which the host's state is complete.
	Position Position
	// Version is the version of the host's configuration.
	Version uint64
	// Overrides is the number of upstreams and evacuations of which the host knows more
	// than the store.
	Overrides int
	// HistoryFrom is the position from which on the host knows all configurations in force
	// and all removals of upstreams.
	HistoryFrom Position
	// Former identifies the former services that the host knows.
	Former FormerDigest
	// Ahead is the position up to which the host has the operator's records although its
	// state is not complete that far; zero if it is.
	Ahead Position
}

// Update holds the changes up to a position.
type Update struct {
	Changes []Change
	// Position is the position up to which the changes are complete.
	Position Position
	// Age is the time since the store last answered, directly or through other hosts.
	Age time.Duration
	// Via is the name of the host that the source reads; empty if it reads the store.
	Via string
	// History is what the source knows of configurations before the last one; nil if the
	// update leaves out none since the position of the reader.
	History *History
	// Isolated is set if the source takes itself to be cut off from the store and from other
	// hosts.
	Isolated bool
}

// Page is one page of a listing of all records.
type Page struct {
	Changes []Change
	// Position is the store's position when the page was read. Changes after the
	// first page's position may or may not be in the listing.
	Position Position
	// Current is set if the page holds all changes that the store had acknowledged
	// before it was read.
	Current bool
	// Next is the cursor of the next page; empty on the last page.
	Next string
	// Age is the time since the store last answered, directly or through other hosts.
	Age time.Duration
	// Via is the name of the host that the source reads; empty if it reads the store.
	Via string
	// History is what the source knows of earlier configurations; nil if it knows none.
	History *History
	// Unconfirmed is set if the page comes from a snapshot that may lack changes after
	// its position.
	Unconfirmed bool
}
