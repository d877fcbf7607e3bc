package membershiprunner

import "github.com/oatlatch/oatlatch/internal/host"

// Status is the membership status shown to operators.
type Status struct {
	Self    host.ID
	Members []MemberStatus
}

// MemberStatus is one member in a Status.
type MemberStatus struct {
	Host       host.ID
	DataCentre string
	State      string
}

// Status returns the current view as a Status.
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
