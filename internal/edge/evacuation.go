package edge

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// logEvacuation logs that an evacuation has begun or ended on this host.
func (h *Host) logEvacuation(event echo.Event) {
	s := &event.Evacuation
	h.options.Logger.Warn().Str("data_centre", s.DataCentre).Uint64("epoch", s.Position.Epoch).Uint64("revision", s.Position.Revision).
		Int("upstreams", s.Upstreams).Int("open", s.OpenFlows).Int("waiting", s.Outstanding).
		Dur("age_ms", h.options.Now().Sub(s.Since)).Dur("in_force_ms", event.Age).Msg(event.Kind.String())
}

// evacuationSums returns the evacuations that this host has in force, with its own numbers.
func (h *Host) evacuationSums() []evidence.EvacuationSum {
	var sums []evidence.EvacuationSum
	for _, e := range h.engine.Evacuations() {
		sums = append(sums, evidence.EvacuationSum{DataCentre: e.DataCentre, Position: e.Position, OpenFlows: e.OpenFlows, Outstanding: e.Outstanding})
	}
	return sums
}

// logEvacuationEverywhere logs, at the first host, evacuations that all known hosts have in
// force.
func (h *Host) logEvacuationEverywhere() {
	now := h.options.Now()
	sums, _ := h.exchange.Sums()
	for _, done := range h.progress.update(now, &sums) {
		e := &done.EvacuationSum
		var age time.Duration
		for _, own := range h.engine.Evacuations() {
			if own.DataCentre == e.DataCentre && own.Position == e.Position {
				age = done.at.Sub(own.Since)
			}
		}
		h.options.Logger.Warn().Str("data_centre", e.DataCentre).Uint64("epoch", e.Position.Epoch).Uint64("revision", e.Position.Revision).
			Int("hosts", e.Hosts).Int("open", e.OpenFlows).Int("waiting", e.Outstanding).Dur("age_ms", age).Msg("evacuation_in_force_everywhere")
	}
}
