package member

import "github.com/oatlatch/oatlatch/internal/host"

// Status is what operators see of the membership.
type Status struct {
	Self    host.ID
	Members []MemberStatus
}

// MemberStatus is one line of Status.
type MemberStatus struct {
	Host       host.ID
	DataCentre string
	State      string
}

// Status returns the view in the form that operators see.
func (r *Runner) Status() Status {
	status := Status{Self: r.options.Self.ID}
	for _, member := range r.View().Members {
		status.Members = append(status.Members, MemberStatus{
			Host:       member.Host.ID,
			DataCentre: member.Host.DataCentre,
			State:      member.State.String(),
		})
	}
	return status
}
