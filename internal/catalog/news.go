package catalog

// HasNewChanges reports whether the update has a change that a host with the given state
// lacks. The update may also repeat inferred departures at the host's position, and
// overrides of upstreams. They don't count, because the host may have received them before.
func (u *Update) HasNewChanges(have Have) bool {
	for i := range u.Changes {
		change := &u.Changes[i]
		isConfiguration := change.Configuration != nil || change.Delta != nil
		if change.Position.After(have.Position) || change.Override && isConfiguration {
			return true
		}
	}
	return false
}
