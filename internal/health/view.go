// Package health decides the state of upstreams from checks and load reports.
package health

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// State is the state of one upstream as one host sees it.
type State uint8

// States of an upstream.
const (
	// Joining upstreams take a growing share of new work.
	Joining State = iota + 1
	// Up upstreams take their full share.
	Up
	// Suspect upstreams take no new flows and keep those they have.
	Suspect
	// Draining upstreams take no new work and keep their flows until these end.
	Draining
	// Gone upstreams have no flows.
	Gone
)

// Upstream is the state of one upstream of a service.
type Upstream struct {
	Service service.ID
	Name    string
	State   State
	// Since is when the state was entered.
	Since time.Time
	// Reason says why, for operators.
	Reason string
	// Load is the last believable load report as a fraction of capacity; negative when there is none.
	Load float64
	// FlowLoad is the believable fraction of the upstream's connections in use. It
	// equals Load when the upstream reports none, and is negative when there is no report.
	FlowLoad float64
	// LoadAt is when Load was received.
	LoadAt time.Time
	// LoadDoubt says why the last load report was not believed as it was, or is empty.
	LoadDoubt Doubt
	// Ramp is the fraction of its full share that a Joining upstream may take, from 0 to 1.
	Ramp float64
}

// View is an immutable list of upstream states, sorted by service and name.
type View struct {
	Upstreams []Upstream
}
