package catalog

import (
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
	// Started is the start time of the process, which distinguishes processes with
	// the same ID; zero if unknown.
	Started time.Time
}
