package health

import "github.com/oatlatch/oatlatch/internal/service"

// Key identifies an upstream of a service.
type Key struct {
	Service service.ID
	Name    string
}

// Outcome is the result of one health check.
type Outcome uint8

// Outcomes of a health check.
const (
	// Passed means that the upstream is healthy.
	Passed Outcome = iota + 1
	// Failed means that the check timed out or that the upstream answered with an error.
	Failed
	// Refused means that the upstream's host actively refused the connection, so
	// no process is listening there.
	Refused
	// ReportedDraining means that the upstream reports that it is draining.
	ReportedDraining
)

// Check is the result of one health check of one upstream.
type Check struct {
	Key     Key
	Outcome Outcome
	// Detail gives operators more information, for example an HTTP status or an error.
	Detail string
	// Report is the load report read with the check, or nil.
	Report *Report
}

// Report is the load report of an upstream.
type Report struct {
	// Load is the fraction of the upstream's capacity that is in use.
	Load float64 `json:"load"`
	// SlotsInUse is the number of requests in progress.
	SlotsInUse uint32 `json:"slots_in_use"`
	// Connections is the number of open flows, or zero if the upstream does not
	// count them.
	Connections uint32 `json:"connections"`
	// Draining is set when the upstream accepts no new work.
	Draining bool `json:"draining"`
}
