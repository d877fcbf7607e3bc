package fake

import "time"

// Faults are the failures that a Client simulates. They may be changed at any time.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is how long each call waits before it is processed.
	Delay time.Duration
	// LoseResponses is the number of writes to come that take effect but fail because
	// their response is lost.
	LoseResponses int
	// DropWrites is the number of writes to come that are lost before they take effect.
	// The client gets the same error as for a lost response.
	DropWrites int
	// Stale makes Get, List, Keys and Watch read a copy of the store that is made when
	// the fault is set.
	Stale bool
	// StaleFrom, if not nil, replaces the copy for Stale and StaleHosts.
	StaleFrom *Store
	// StaleHosts makes Hosts read the copy of the store.
	StaleHosts bool
	// MissChanges makes watches miss all changes: they wait until their time ends and
	// then fail.
	MissChanges bool
}
