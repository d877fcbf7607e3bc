package evidence

import (
	"cmp"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// SumsTTL is how long sums count without newer ones. While an evacuation is in force
	// they are renewed every 0.55 s and a round trip, and hosts report at once that others
	// are missing: with 0.1 s a level, a host that is cut off is missing everywhere within
	// ReportTTL.
	SumsTTL = time.Second
	// maxEvacuations is the maximum number of requests of which sums are kept.
	maxEvacuations = 64
	// maxNameLength is the maximum length in bytes of a data centre's name in sums.
	maxNameLength = 255
	// maxSummedHosts and maxSummedFlows are far above what a deployment has. They keep sums
	// of impossible reports from overflowing.
	maxSummedHosts = 1 << 20
	maxSummedFlows = 1 << 40
)

// Sums are numbers of one or several hosts, each of which counts once.
type Sums struct {
	// Hosts is the number of hosts; zero in reports of builds without sums.
	Hosts int
	// Evacuations has one entry for each request that any of the hosts has in force, sorted
	// by data centre, the latest request first.
	Evacuations []EvacuationSum
	// Depth is the number of levels of hosts that the sums include.
	Depth int
}

// EvacuationSum holds the sums of the hosts that have a request to evacuate a data centre in
// force.
type EvacuationSum struct {
	DataCentre string
	// Position is where the store wrote the request. With the data centre it names the
	// request: hosts that have another one in force do not count for this one.
	Position catalog.Position
	// Hosts is the number of hosts that have the request in force.
	Hosts int
	// OpenFlows and Outstanding are the numbers of their open flows, and of their requests
	// without an answer, in the data centre.
	OpenFlows, Outstanding int
}

// NewSums returns the sums of one host with the evacuations that it has in force.
func NewSums(inForce []EvacuationSum) Sums {
	own := Sums{Hosts: 1, Depth: 1}
	for _, e := range inForce {
		e.Hosts = 1
		own.Evacuations = append(own.Evacuations, e)
	}
	return own.sanitized()
}

// Evacuation returns the sums of the request that the store wrote at the position; zero if
// no host has it in force.
func (s *Sums) Evacuation(dataCentre string, position catalog.Position) EvacuationSum {
	for i := range s.Evacuations {
		if e := s.Evacuations[i]; e.sameRequest(&EvacuationSum{DataCentre: dataCentre, Position: position}) {
			return e
		}
	}
	return EvacuationSum{DataCentre: dataCentre, Position: position}
}

// sameRequest reports whether both entries are about the same request.
func (e *EvacuationSum) sameRequest(other *EvacuationSum) bool {
	return e.DataCentre == other.DataCentre && e.Position == other.Position
}

// sanitized returns the sums without entries that hosts cannot have counted, or no sums if
// the number of hosts is impossible.
func (s Sums) sanitized() Sums {
	if s.Hosts < 1 || s.Hosts > maxSummedHosts || s.Depth < 1 || s.Depth >= maxDepth || len(s.Evacuations) > maxEvacuations {
		return Sums{}
	}
	s.Evacuations = slices.DeleteFunc(slices.Clone(s.Evacuations), func(e EvacuationSum) bool {
		return len(e.DataCentre) > maxNameLength || e.Hosts < 1 || e.Hosts > s.Hosts ||
			e.OpenFlows < 0 || e.OpenFlows > maxSummedFlows || e.Outstanding < 0 || e.Outstanding > maxSummedFlows
	})
	return s
}

// addSums returns the sums of all sides together.
func addSums(sides []Sums) Sums {
	var total Sums
	var all []EvacuationSum
	for i := range sides {
		total.Hosts += sides[i].Hosts
		total.Depth = max(total.Depth, sides[i].Depth)
		all = append(all, sides[i].Evacuations...)
	}
	slices.SortFunc(all, func(a, b EvacuationSum) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), b.Position.Compare(a.Position))
	})
	for _, e := range all {
		if last := len(total.Evacuations) - 1; last >= 0 && total.Evacuations[last].sameRequest(&e) {
			sum := &total.Evacuations[last]
			sum.Hosts += e.Hosts
			sum.OpenFlows += e.OpenFlows
			sum.Outstanding += e.Outstanding
			continue
		}
		total.Evacuations = append(total.Evacuations, e)
	}
	total.Evacuations = limitEvacuations(total.Evacuations)
	return total
}

// limitEvacuations returns at most maxEvacuations entries. Requests that a later one of the
// same data centre has replaced are left out first, then the last data centres by name.
func limitEvacuations(all []EvacuationSum) []EvacuationSum {
	if len(all) <= maxEvacuations {
		return all
	}
	latest := slices.CompactFunc(all, func(a, b EvacuationSum) bool { return a.DataCentre == b.DataCentre })
	return latest[:min(len(latest), maxEvacuations)]
}

// sameInForce reports whether as many hosts have the same requests in force. Flows and
// requests without an answer always change and are no news.
func sameInForce(a, b []EvacuationSum) bool {
	return slices.EqualFunc(a, b, func(x, y EvacuationSum) bool { return x.sameRequest(&y) && x.Hosts == y.Hosts })
}
