package catalog

import (
	"cmp"
	"net/netip"
	"time"
)

// UpstreamID identifies an upstream uniquely over the lifetime of a deployment. An
// upstream may keep its ID across restarts.
type UpstreamID uint64

// Upstream is the registration of an upstream.
type Upstream struct {
	ID UpstreamID
	// Name is the ID in the form shown to operators.
	Name       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining is set once the upstream has announced that it will stop.
	Draining bool
	// Warmup is how long the upstream stays slow after this registration was received.
	Warmup time.Duration
	RecordID
}

// RecordID identifies a record among those that an upstream has written.
type RecordID struct {
	// Started is the start time of the process, which distinguishes processes with
	// the same ID; zero if unknown.
	Started time.Time
	// Sequence orders the records of the process.
	Sequence uint64
}

// compare compares two records of the same upstream by the order in which the upstream
// wrote them, which does not depend on the store.
func (r RecordID) compare(other RecordID) int {
	return cmp.Or(r.Started.Compare(other.Started), cmp.Compare(r.Sequence, other.Sequence))
}
