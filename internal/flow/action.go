package flow

import "github.com/oatlatch/oatlatch/internal/host"

// Action is what Step asks its caller to do.
type Action interface{ isAction() }

// Send asks to deliver the message to the host. It may get lost, repeated or reordered.
type Send struct {
	To      host.ID
	Message Message
}

// Left reports that the host owns no slots any more and may stop.
type Left struct{}

func (Send) isAction() {}
func (Left) isAction() {}
