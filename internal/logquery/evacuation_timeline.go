package logquery

import "time"

// Events of a host about evacuations and about itself.
const (
	evacuationKnownEvent   = "evacuation_requested"
	evacuationInForceEvent = "evacuation_in_force"
	startedEvent           = "started"
)

// evacuation is a request to evacuate a data centre, as the store has written it.
type evacuation struct{ dataCentre, epoch, revision string }

// EvacuationTimelines returns the timelines of all requests to evacuate a data centre in the
// lines, which must be sorted by time, in the order of their first adoptions.
func EvacuationTimelines(lines []Line) []Timeline {
	type hostAndCentre struct{ host, dataCentre string }
	known := make(map[hostAndCentre]evacuation) // the last request that the host has logged
	startedAt := make(map[string]time.Time)
	adoptions := make(map[evacuation][]adoption)
	started := make(map[evacuation]int)
	seen := make(map[string]map[evacuation]bool)
	for i := range lines {
		l := &lines[i]
		place := hostAndCentre{l.Host, l.Get("data_centre")}
		switch l.Event {
		case startedEvent:
			startedAt[l.Host] = l.Time
		case evacuationKnownEvent:
			known[place] = evacuation{place.dataCentre, l.Get("epoch"), l.Get("revision")}
		case evacuationInForceEvent:
			request, ok := known[place]
			if !ok || seen[l.Host][request] {
				continue
			}
			if seen[l.Host] == nil {
				seen[l.Host] = make(map[evacuation]bool)
			}
			seen[l.Host][request] = true
			if all := adoptions[request]; len(all) > 0 && startedAt[l.Host].After(all[0].at) {
				started[request]++
				continue
			}
			adoptions[request] = append(adoptions[request], adoption{at: l.Time, host: l.Host})
		}
	}
	timelines := make([]Timeline, 0, len(adoptions))
	for request, all := range adoptions {
		t := newTimeline(all, started[request])
		t.Evacuation, t.Revision = request.dataCentre, request.revision
		timelines = append(timelines, t)
	}
	sortTimelines(timelines)
	return timelines
}
