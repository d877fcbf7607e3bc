package admission

// Target is one upstream as the scheduler sees it.
type Target struct {
	Name string
	// Slots is the number of requests that this host may run there at once.
	Slots int
	// Weight is the upstream's relative share of the work; zero counts as one.
	Weight uint32
	// Ramp is the share of new work that the upstream takes, above 0 and at most 1.
	Ramp float64
}

// score is the relative chance of the upstream when so many of its slots are free.
func (t Target) score(free int) float64 {
	return t.Ramp * float64(max(1, t.Weight)) * float64(free)
}
