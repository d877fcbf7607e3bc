package flow

import "github.com/oatlatch/oatlatch/internal/host"

// Action is something that Step asks the program around the engine to do.
type Action interface{ isAction() }

// Send asks for delivery of the message to the host. Messages may be lost,
// duplicated or reordered.
type Send struct {
	To      host.ID
	Message Message
}

// Left reports that this host no longer owns any slots and may stop.
type Left struct{}

func (Send) isAction() {}
func (Left) isAction() {}
