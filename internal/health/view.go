// Package health determines the state of upstreams from health checks and load
// reports.
package health

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// State is the state of an upstream as observed by this host.
type State uint8

// States of an upstream.
const (
	// Joining upstreams take a growing share of new work, or none before their
	// first passed check.
	Joining State = iota + 1
	// Up upstreams take their full share of new work.
	Up
	// Suspect upstreams take no new flows but keep their existing ones.
	Suspect
	// Draining upstreams take no new work but keep their flows until these end.
	Draining
	// Gone upstreams have stopped after draining, or have drained for the whole
	// drain limit. They have no flows.
	Gone
)

// Upstream is the entry of one upstream in a View.
type Upstream struct {
	Service service.ID
	Name    string
	State   State
	// Since is when the upstream entered the state.
	Since time.Time
	// Reason explains the state to operators.
	Reason string
	// Load is the median load of the recent valid reports as a fraction of capacity,
	// or negative if it is unknown.
	Load float64
	// FlowLoad is the median fraction of the upstream's connections in use. A report
	// without connections counts with its load instead. FlowLoad is negative if Load is.
	FlowLoad float64
	// LoadAt is when the last valid load report was received.
	LoadAt time.Time
	// LoadDoubt is the reason why load reports are not used as received, or empty.
	LoadDoubt Doubt
	// Ramp is the fraction of its full share that the upstream may take, from 0 to 1.
	// It is 1 unless the upstream is Joining.
	Ramp float64
}

// View is an immutable list of upstream states, sorted by service and name.
type View struct {
	Upstreams []Upstream
}
