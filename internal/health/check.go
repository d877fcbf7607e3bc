package health

import "github.com/oatlatch/oatlatch/internal/service"

// Key names one upstream of one service.
type Key struct {
	Service service.ID
	Name    string
}

// Outcome is the result of one health check.
type Outcome uint8

// Outcomes of a check.
const (
	// Passed means that the upstream is healthy.
	Passed Outcome = iota + 1
	// Failed means that the check timed out or was answered with an error.
	Failed
	// Refused means that the upstream's host positively refused the connection, so
	// that no process takes work there.
	Refused
	// ReportedDraining means that the upstream says that it is leaving.
	ReportedDraining
)

// Check is the result of one check of one upstream.
type Check struct {
	Key     Key
	Outcome Outcome
	// Detail says more for operators, for example an HTTP status.
	Detail string
	// Report is the load report, nil if there is none.
	Report *Report
}

// Report is what an upstream says of its load.
type Report struct {
	// Load is the fraction of capacity in use.
	Load float64 `json:"load"`
	// SlotsInUse counts the requests that run.
	SlotsInUse uint32 `json:"slots_in_use"`
	// Connections counts the open flows; zero if the upstream does not count them.
	Connections uint32 `json:"connections"`
	Draining    bool   `json:"draining"`
}
