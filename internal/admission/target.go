package admission

// Target is one upstream as the scheduler sees it.
type Target struct {
	Name string
	// Slots is the number of requests that this host may run there at once.
	Slots int
	// Ramp is the share of new work that the upstream takes, above 0 and at most 1.
	Ramp float64
}
