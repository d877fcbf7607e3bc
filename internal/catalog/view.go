package catalog

import "time"

// Presence is the state of an upstream's registration.
type Presence uint8

// States of a registration.
const (
	// Registered means that the upstream has a registration.
	Registered Presence = iota + 1
	// Lapsed means that the registration expired during a store outage. The upstream
	// stays in use until RecoveryGracePeriod has passed.
	Lapsed
	// Departed means that the upstream has no registration and is not expected back.
	Departed
)

var presenceNames = map[Presence]string{Registered: "registered", Lapsed: "lapsed", Departed: "departed"}

// String returns the name of the presence in lower case.
func (p Presence) String() string { return presenceNames[p] }

// Entry is an upstream with the state of its registration.
type Entry struct {
	Upstream
	Presence Presence
	// PresenceSince is when Presence last changed.
	PresenceSince time.Time
	// WarmUntil is when the upstream reaches full speed.
	WarmUntil time.Time
	// position is where the store last registered or removed the upstream. An inferred
	// departure has the catalog's position if that is later.
	position Position
	// departureInferred is set if the catalog marked the upstream as departed after
	// the grace period, without a removal in the store.
	departureInferred bool
	// beforeRestore is set from the restore of the store until the store is known to
	// have a record of the upstream, or none.
	beforeRestore bool
	// override is set while the catalog knows more of the upstream than the store.
	override *override
	// settled is set once an override has ended because the store kept its record. The
	// overrides of other hosts for that record are then ignored.
	settled bool
}

// override describes an older record that the store has of an upstream. The record comes
// from the copy from which the store was restored.
type override struct {
	// stored is the record in the store.
	stored Upstream
	// since is when the catalog first saw it.
	since time.Time
}

// LostPeerKey describes what the store has instead of the peer key.
type LostPeerKey struct {
	// Stored is the position of the replaced key that the store has; its revision is zero
	// if the store has none.
	Stored Position
}

// View is a read-only copy of a catalog's contents.
type View struct {
	Configuration *Configuration
	// Upstreams are sorted by name.
	Upstreams []Entry
	// Hosts are sorted by descending bandwidth, then by the order in which they joined.
	Hosts []Host
	// Position is the position up to which the view is complete.
	Position Position
	// PeerKey is the secret shared by all entry hosts; nil until it is known.
	PeerKey []byte
	// FormerPeerKey is the peer key that the store lost in a restore, after which another
	// host created PeerKey; nil if there is none. Hosts that have not learned of it yet
	// still use the former key.
	FormerPeerKey []byte
	// LostPeerKey is set if PeerKey has to be written to the store again.
	LostPeerKey *LostPeerKey
	// Evacuations are the data centres to be evacuated, sorted by name.
	Evacuations []Evacuation
	// Partial is set until the first listing is complete, or a snapshot that was read
	// instead is confirmed. The view may then lack routes and upstreams.
	Partial bool
	// Former holds the former services of routes. It is nil, or shared by views until it
	// changes.
	Former *FormerServices
	// HistoryCompleteAt is when the catalog will know all configurations whose flows may
	// still be open. Until then, Former may lack services.
	HistoryCompleteAt time.Time
}
