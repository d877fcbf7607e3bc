package fake

import "time"

// Faults are switched on and off by tests while clients run.
type Faults struct {
	// Down refuses every call without effect.
	Down bool
	// Delay is added before each answer.
	Delay time.Duration
	// LoseAnswers is the number of writes to come that take effect while their answer is lost.
	LoseAnswers int
	// DropWrites is the number of writes to come that are lost before they take effect,
	// which their writer cannot tell from a lost answer.
	DropWrites int
	// Stale answers reads and watches from the contents at the time the fault was set.
	Stale bool
	// StaleFrom, if set, is what Stale and StaleHosts answer from instead.
	StaleFrom *Store
	// StaleHosts answers the host list of the time the fault was set.
	StaleHosts bool
	// DeafWatches lets watches wait out their time without reporting a change.
	DeafWatches bool
}
