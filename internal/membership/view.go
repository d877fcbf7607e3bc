// Package membership decides which entry hosts are alive.
package membership

import "github.com/oatlatch/oatlatch/internal/host"

// State is what a host believes of a member.
type State uint8

// States of a member, in the order in which a member passes through them.
const (
	// Live members own slots and take new work.
	Live State = iota + 1
	// Suspect members missed heartbeats but still own their slots.
	Suspect
	// Leaving members hand over and take no new ownership.
	Leaving
	// Dead members are out of ownership.
	Dead
)

// Member is one entry host in a view.
type Member struct {
	Host  host.Host
	State State
}

// View is an immutable list of members sorted by host ID. It includes the host itself.
type View struct {
	Members []Member
}
