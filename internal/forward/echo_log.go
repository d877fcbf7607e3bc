package forward

import (
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Names of the log events of flows.
const (
	flowOpened  = "flow_opened"
	flowMoved   = "flow_moved"
	flowReset   = "flow_reset"
	flowDropped = "flow_dropped"
)

// logDecision logs a decision that opens, moves, resets or drops a flow. Packets
// of known flows are not logged.
func (w *echoWorker) logDecision(d *echo.Decision) {
	logger := &w.forwarder.options.Logger
	var line *zerolog.Event
	event := flowOpened
	switch {
	case d.Verdict == echo.Reset:
		line, event = logger.Warn(), flowReset
	case d.Verdict == echo.Drop:
		line, event = logger.Warn(), flowDropped
	case d.Reason == echo.OpenedElsewhere:
		line, event = logger.Warn(), flowMoved
	case d.Reason == echo.Opened || d.Reason == echo.OpenedAgain:
		line = logger.Info()
	default:
		return
	}
	w.addDecisionFields(line, d).Msg(event)
}

// addDecisionFields adds the flow, the reason and the data that the decision was
// based on to the log line.
func (w *echoWorker) addDecisionFields(line *zerolog.Event, d *echo.Decision) *zerolog.Event {
	detail := &d.Detail
	line = line.Str("flow", w.segment.Caller.String()+">"+w.segment.VirtualAddress.String()).Stringer("reason", d.Reason).
		Str("route", detail.Route).Uint64("version", detail.Version).Dur("view_age_ms", detail.ViewAge)
	if detail.Upstream != "" {
		line = line.Str("upstream", detail.Upstream).Str("data_centre", detail.DataCentre).Stringer("presence", detail.Presence).
			Bool("draining", detail.Draining).Bool("suspected", detail.Suspected).
			Int("waiting", detail.Outstanding).Int("slots", detail.Slots).Int("open", detail.OpenFlows).Dur("silent_ms", detail.SinceLastAnswer)
	}
	if detail.Evacuated {
		line = line.Bool("evacuated", true)
	}
	if d.Reason == echo.Overloaded {
		line = line.Dur("work_ms", detail.ProcessingTime).Float64("slow_answers", detail.SlowFraction)
	}
	if detail.Waited > 0 {
		line = line.Dur("waited_ms", detail.Waited)
	}
	if detail.CallerWaiting > 0 {
		line = line.Uint32("caller_waiting", detail.CallerWaiting)
	}
	if d.Reason == echo.OpenedElsewhere {
		line = line.Stringer("to", d.Address)
	}
	if detail.FlowAge > 0 {
		line = line.Dur("flow_age_ms", detail.FlowAge).Uint32("copies", detail.PriorSYNs)
	}
	return line
}
