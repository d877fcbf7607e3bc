package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Effects of differences on flows.
const (
	effectAdded   = "new flows are served"
	effectRemoved = "open flows of the route are reset, new flows are refused"
	effectMoved   = "new flows go to the new services, open flows stay where they are"
	effectWeights = "new flows are shared by the new weights, open flows stay where they are"
	effectRegions = "new flows keep to the new regions, open flows stay where they are"
)

// value is a named value of an entry, as shown to operators.
type value struct {
	what, text, effect string
}

// Compare returns the differences between the configuration in force and the next one:
// routes, services and limits, each in the order of the next one, followed by what is
// removed. Versions are not compared. Routes are the same if their address is, because
// flows belong to an address.
func Compare(inForce, next *Configuration) []Difference {
	differences := compareRoutes(inForce.Routes, next.Routes)
	differences = append(differences, compareServices(inForce.Services, next.Services)...)
	return append(differences, compareValues(Entry{Kind: KindLimits}, limitValues(&inForce.Limits), limitValues(&next.Limits))...)
}

// compareRoutes compares the routes by address. Of several routes with an address, the
// last one counts, as on hosts.
func compareRoutes(inForce, next []Route) []Difference {
	var differences []Difference
	before, after := byKey(inForce, (*Route).key), byKey(next, (*Route).key)
	for i := range next {
		r, entry := &next[i], Entry{Kind: KindRoute, Index: i, Name: next[i].Name}
		if after[r.key()] != i {
			continue
		}
		index, known := before[r.key()]
		if !known {
			differences = append(differences, Difference{Change: Added, Entry: entry, After: r.key() + " to " + weights(r), Effect: effectAdded})
			continue
		}
		old := &inForce[index]
		switch from, to := weights(old), weights(r); {
		case !slices.Equal(serviceNames(old), serviceNames(r)):
			differences = append(differences, Difference{Change: Moved, Entry: entry, What: "service", Before: from, After: to, Effect: effectMoved})
		case from != to:
			differences = append(differences, Difference{Change: Changed, Entry: entry, What: "weights", Before: from, After: to, Effect: effectWeights})
		}
		differences = append(differences, compareValues(entry, routeValues(old), routeValues(r))...)
	}
	for i := range inForce {
		r := &inForce[i]
		if _, remains := after[r.key()]; !remains && before[r.key()] == i {
			entry := Entry{Kind: KindRoute, Index: i, Name: r.Name}
			differences = append(differences, Difference{Change: Removed, Entry: entry, Before: r.key() + " to " + weights(r), Effect: effectRemoved})
		}
	}
	return differences
}

// compareServices compares the services by name. Of several services with a name, the
// last one counts, as on hosts.
func compareServices(inForce, next []Service) []Difference {
	var differences []Difference
	name := func(s *Service) string { return s.Name }
	before, after := byKey(inForce, name), byKey(next, name)
	for i := range next {
		entry := Entry{Kind: KindService, Index: i, Name: next[i].Name}
		index, known := before[next[i].Name]
		switch {
		case after[next[i].Name] != i:
		case !known:
			differences = append(differences, Difference{Change: Added, Entry: entry})
		default:
			differences = append(differences, compareValues(entry, serviceValues(&inForce[index]), serviceValues(&next[i]))...)
		}
	}
	for i := range inForce {
		if _, remains := after[inForce[i].Name]; !remains && before[inForce[i].Name] == i {
			differences = append(differences, Difference{Change: Removed, Entry: Entry{Kind: KindService, Index: i, Name: inForce[i].Name}})
		}
	}
	return differences
}

// compareValues compares values of an entry, which are in the same order.
func compareValues(entry Entry, before, after []value) []Difference {
	var differences []Difference
	for i, v := range after {
		if before[i].text != v.text {
			differences = append(differences, Difference{Change: Changed, Entry: entry, What: v.what, Before: before[i].text, After: v.text, Effect: v.effect})
		}
	}
	return differences
}

// byKey returns the index of the last entry with each key.
func byKey[E any](entries []E, key func(*E) string) map[string]int {
	index := make(map[string]int, len(entries))
	for i := range entries {
		index[key(&entries[i])] = i
	}
	return index
}

// serviceNames returns the services that get the route's new flows, sorted.
func serviceNames(r *Route) []string {
	return slices.Sorted(maps.Keys(serviceWeights(r)))
}

// serviceWeights returns the weight of each service that gets the route's new flows. The
// weights of a service that is listed twice are added.
func serviceWeights(r *Route) map[string]uint64 {
	sums := make(map[string]uint64)
	for _, b := range r.shares() {
		sums[b.Service] += uint64(b.Weight)
	}
	return sums
}

// weights returns the services that get the route's new flows as text, with their weights
// if there are several.
func weights(r *Route) string {
	sums := serviceWeights(r)
	names := serviceNames(r)
	if len(names) == 1 {
		return names[0]
	}
	for i, name := range names {
		names[i] = fmt.Sprintf("%s:%d", name, sums[name])
	}
	return strings.Join(names, ", ")
}

func routeValues(r *Route) []value {
	regions := slices.Compact(slices.Sorted(slices.Values(r.AllowedRegions)))
	return []value{
		{what: "name", text: r.Name},
		{what: "type", text: r.Type},
		{what: "timeout", text: r.Timeout.String()},
		{what: "latency objective", text: r.Objective.String()},
		{what: "priority", text: fmt.Sprint(r.Priority)},
		{what: "attempts", text: fmt.Sprint(r.MaxAttempts)},
		{what: "allowed regions", text: strings.Join(regions, ", "), effect: effectRegions},
	}
}

func serviceValues(s *Service) []value {
	return []value{
		{what: "health check path", text: s.HealthPath},
		{what: "flows", text: number(s.MaxFlows)},
		{what: "protocol", text: s.Protocol},
		{what: "TLS", text: fmt.Sprint(s.TLS)},
		{what: "warm-up time", text: number(s.WarmupSeconds) + " s"},
		{what: "warm-up rate", text: number(s.WarmupRate) + "/s"},
	}
}

func limitValues(l *Limits) []value {
	return []value{
		{what: "header size", text: number(l.MaxHeaderBytes) + " bytes"},
		{what: "body size", text: number(l.MaxBodyBytes) + " bytes"},
		{what: "header timeout", text: l.HeaderTimeout.String()},
		{what: "idle timeout", text: l.IdleTimeout.String()},
	}
}
