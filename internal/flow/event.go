package flow

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Event is a control event that Step handles.
type Event interface{ isEvent() }

// Adopted reports that the host adopted a configuration.
type Adopted struct{ Snapshot *config.Snapshot }

// MembersChanged reports a new membership view.
type MembersChanged struct{ View membership.View }

// UpstreamsChanged reports a new view of the health of upstreams.
type UpstreamsChanged struct{ View health.View }

// Received reports a message from another host.
type Received struct {
	From    host.ID
	Message Message
}

// Tick drives all timers. It is expected every TickInterval.
type Tick struct{}

// Leave starts a graceful stop. A Left action follows once this host no longer
// owns any slots.
type Leave struct{}

func (Adopted) isEvent()          {}
func (MembersChanged) isEvent()   {}
func (UpstreamsChanged) isEvent() {}
func (Received) isEvent()         {}
func (Tick) isEvent()             {}
func (Leave) isEvent()            {}
