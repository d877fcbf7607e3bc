package edge

import "github.com/oatlatch/oatlatch/internal/flow/echo"

// logEvacuation logs that an evacuation has begun or ended on this host.
func (h *Host) logEvacuation(event echo.Event) {
	s := &event.Evacuation
	h.options.Logger.Warn().Str("data_centre", s.DataCentre).Uint64("epoch", s.Position.Epoch).Uint64("revision", s.Position.Revision).
		Int("upstreams", s.Upstreams).Int("open", s.OpenFlows).Int("waiting", s.Outstanding).
		Dur("age_ms", h.options.Now().Sub(s.Since)).Dur("in_force_ms", event.Age).Msg(event.Kind.String())
}
