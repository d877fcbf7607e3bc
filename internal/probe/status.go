package probe

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
)

// UpstreamStatus is what operators see of one upstream.
type UpstreamStatus struct {
	Service  string
	Upstream string
	State    string
	Since    time.Time
	Reason   string
	// Load is the believed fraction of capacity; negative when unknown.
	Load float64
	// LoadDoubt says why the last report was not believed as it was.
	LoadDoubt health.Doubt
}

// Status returns the states of all upstreams in the form that operators see.
func (r *Runner) Status() []UpstreamStatus {
	names := *r.names.Load()
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
