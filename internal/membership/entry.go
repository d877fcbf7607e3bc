package membership

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// entry is the local state that a node keeps for one member.
type entry struct {
	record Record
	host   host.Host
	key    Key
	// described is set once the member's host description has been received.
	described bool
	// lastSeen is when the last probe or probe answer from the member's process
	// arrived. Pauses of the local process are added to it, see compensatePause.
	lastSeen time.Time
	// contactSince is when the current contact began.
	contactSince time.Time
	// reachable is set while a chain of contacts leads from this host to the member.
	reachable bool
	// reachableSince is when the member last became reachable.
	reachableSince time.Time
	// unreachableSince is when the member last became unreachable; zero if it has never
	// been reachable.
	unreachableSince time.Time
	// observers is the number of reachable hosts, this one included, that are in
	// contact with the member.
	observers int
}

// alive reports whether the member is reachable and has not left.
func (e *entry) alive() bool {
	return e.reachable && e.record.Phase != Left
}
