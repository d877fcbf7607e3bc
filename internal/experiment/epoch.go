package experiment

// epoch is a run of bins in which the same data centres are isolated.
type epoch struct {
	// start is the first bin.
	start int
	// before and after hold the data centres that are isolated at the boundaries of the
	// bins, one bit each. They differ in a bin with a change.
	before, after uint64
}

// epochs returns the epochs of the run.
func (m *measurement) epochs() []epoch {
	var all []epoch
	for b := range len(m.isolated) - 1 {
		e := epoch{start: b, before: m.isolated[b], after: m.isolated[b+1]}
		if n := len(all); n == 0 || all[n-1].before != e.before || all[n-1].after != e.after {
			all = append(all, e)
		}
	}
	return all
}

// separates reports whether the data centres could not reach each other in the epoch.
func (e *epoch) separates(a, b int) bool {
	apart := func(isolated uint64) bool { return a != b && (isolated>>a&1 == 1 || isolated>>b&1 == 1) }
	return apart(e.before) && apart(e.after)
}

// isolates reports whether the data centre could reach no other in the epoch.
func (e *epoch) isolates(dc int) bool { return e.before>>dc&1 == 1 && e.after>>dc&1 == 1 }
