package experiment

// Kind is a kind of request that bounds are reported for.
type Kind struct {
	// Flows is LongFlows, OneRequestFlows or AllFlows.
	Flows string
	// Priority is the priority of the route. Greater numbers are lower priorities. It is 0 for
	// AllFlows.
	Priority int
}

// Values of Kind.Flows.
const (
	LongFlows       = "long"
	OneRequestFlows = "one-request"
	AllFlows        = "all"
)

// Priorities of the two routes.
const (
	repeatablePriority    = 2
	nonRepeatablePriority = 1
)

// kinds returns the kinds of a run: all requests, and those of each route.
func kinds() []Kind {
	return []Kind{{Flows: AllFlows}, {LongFlows, repeatablePriority}, {OneRequestFlows, nonRepeatablePriority}}
}

// includes reports whether requests of the other kind count for this one.
func (k Kind) includes(other Kind) bool { return k.Flows == AllFlows || k == other }
