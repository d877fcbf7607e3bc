package flow

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Event is a control event for Step.
type Event interface{ isEvent() }

// Adopted reports that the host adopted a configuration.
type Adopted struct{ Snapshot *config.Snapshot }

// MembersChanged reports the host's view of the members.
type MembersChanged struct{ View membership.View }

// UpstreamsChanged reports the host's view of the upstreams.
type UpstreamsChanged struct{ View health.View }

// Received reports a message of another host.
type Received struct {
	From    host.ID
	Message Message
}

// Tick drives timers; send one every TickInterval.
type Tick struct{}

// Leave starts a graceful stop. A Left action follows when the host owns nothing any more.
type Leave struct{}

func (Adopted) isEvent()          {}
func (MembersChanged) isEvent()   {}
func (UpstreamsChanged) isEvent() {}
func (Received) isEvent()         {}
func (Tick) isEvent()             {}
func (Leave) isEvent()            {}
