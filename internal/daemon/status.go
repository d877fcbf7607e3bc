package daemon

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/forward"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membershiprunner"
	"github.com/oatlatch/oatlatch/internal/probe"
)

// Status is the state of a host as the admin server reports it, encoded as JSON.
type Status struct {
	Host  host.Host
	Ready bool
	// NotReady is the reason if Ready is false.
	NotReady      string `json:",omitempty"`
	ConfigVersion config.Version
	Configuration config.Status
	Members       membershiprunner.Status
	Upstreams     []probe.UpstreamStatus
	Flows         forward.Status
	Requests      dispatch.Status
}

// Status returns the current state of the host and its components.
func (d *Daemon) Status() Status {
	ready, reason := d.Ready()
	return Status{
		Host: d.self, Ready: ready, NotReady: reason,
		ConfigVersion: d.configRunner.Snapshot().Version(),
		Configuration: d.configRunner.Status(),
		Members:       d.membershipRunner.Status(),
		Upstreams:     d.probeRunner.Status(),
		Flows:         d.forwarder.Status(),
		Requests:      d.dispatcher.Status(),
	}
}

// Ready reports whether the host has a configuration to serve and, if not, the reason.
func (d *Daemon) Ready() (ready bool, reason string) {
	if d.configRunner.Snapshot() != nil {
		return true, ""
	}
	return false, d.configRunner.Status().Reason
}
