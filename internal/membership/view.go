// Package membership implements the failure detection and gossip protocol by which
// entry hosts agree on which of them are alive.
//
// Every host probes a few others. A host is in contact with another while it receives
// probes, or answers to its own probes, from it. Each host publishes its contacts in a
// versioned record, and the hosts pass the newest records on to each other. A host's
// view shows another host as alive while a chain of contacts leads to it.
package membership

import "github.com/oatlatch/oatlatch/internal/host"

// State is a host's assessment of a member.
type State uint8

// States of a member.
const (
	// Live members own slots, which are parts of a service's flows selected by the flow
	// hash, and take new ones.
	Live State = iota + 1
	// Suspect members are in contact with fewer than half of the expected hosts but
	// still own their slots.
	Suspect
	// Leaving members hand over their slots and take no new ones.
	Leaving
	// Dead members own no slots.
	Dead
)

// Member is one entry host in a view.
type Member struct {
	Host  host.Host
	State State
}

// View is an immutable list of members sorted by host ID. It includes the local host.
type View struct {
	Members []Member
}
