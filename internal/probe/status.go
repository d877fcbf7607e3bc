package probe

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
)

// UpstreamStatus is the state of an upstream in the status output for operators.
type UpstreamStatus struct {
	Service  string
	Upstream string
	State    string
	Since    time.Time
	Reason   string
	// Load is the fraction of capacity in use, or negative if it is unknown.
	Load float64
	// LoadDoubt is the reason why load reports are not used as received, or empty.
	LoadDoubt health.Doubt
}

// Status returns the states of all upstreams for the status output.
func (r *Runner) Status() []UpstreamStatus {
	names := *r.serviceNames.Load()
	view := r.View()
	status := make([]UpstreamStatus, 0, len(view.Upstreams))
	for _, upstream := range view.Upstreams {
		status = append(status, UpstreamStatus{
			Service:   names[upstream.Service],
			Upstream:  upstream.Name,
			State:     upstream.State.String(),
			Since:     upstream.Since,
			Reason:    upstream.Reason,
			Load:      upstream.Load,
			LoadDoubt: upstream.LoadDoubt,
		})
	}
	return status
}
