package daemon

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/member"
	"github.com/oatlatch/oatlatch/internal/probe"
)

// Status is what a host tells operators, encoded as JSON.
type Status struct {
	Host          host.Host
	Ready         bool
	NotReady      string `json:",omitempty"`
	ConfigVersion config.Version
	Configuration config.Status
	Members       member.Status
	Upstreams     []probe.UpstreamStatus
	Flows         forward.Status
	Requests      dispatch.Status
}

// Status returns the present state of every duty.
func (d *Daemon) Status() Status {
	ready, reason := d.Ready()
	return Status{
		Host: d.self, Ready: ready, NotReady: reason,
		ConfigVersion: d.adoption.Snapshot().Version(),
		Configuration: d.adoption.Status(),
		Members:       d.members.Status(),
		Upstreams:     d.probes.Status(),
		Flows:         d.forwarder.Status(),
		Requests:      d.dispatcher.Status(),
	}
}

// Ready tells whether the host serves, and if not, why.
func (d *Daemon) Ready() (ready bool, reason string) {
	if d.adoption.Snapshot() != nil {
		return true, ""
	}
	return false, d.adoption.Status().Reason
}
