package admission

// Target is an upstream to which a scheduler assigns requests.
type Target struct {
	Name string
	// Slots is the number of concurrent requests that this host may send to it.
	Slots int
	// Weight is the upstream's relative share of the requests; zero counts as one.
	Weight uint32
	// Ramp is the fraction of its full share that the upstream takes, greater than 0
	// and at most 1. It is below 1 during a slow start.
	Ramp float64
}

// selectionWeight returns the relative probability of picking the upstream when it has
// freeSlots free slots.
func (t Target) selectionWeight(freeSlots int) float64 {
	return t.Ramp * float64(max(1, t.Weight)) * float64(freeSlots)
}
