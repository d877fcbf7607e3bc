package membership

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// entry is what a host knows of a member.
type entry struct {
	record Record
	host   host.Host
	key    Key
	// described is set once the member's description has arrived.
	described bool
	// heardAt is when a message of the member's process last arrived.
	heardAt time.Time
	// contactSince is when the present contact began.
	contactSince time.Time
	// reached is set while a chain of contacts leads to the member.
	reached bool
	// reachedAt is when the member was last reached first.
	reachedAt time.Time
	// lostAt is when the member ceased to be reached; zero if it never was reached.
	lostAt time.Time
	// vouchers is the number of reached members in contact with the member.
	vouchers int
}

// live reports whether the member belongs to the view.
func (e *entry) live() bool {
	return e.reached && e.record.Phase != Left
}
