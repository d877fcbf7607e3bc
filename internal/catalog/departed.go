package catalog

import "time"

// lastRegistration returns the last registration of an entry without one, as a host needs it
// that has started since; nil if only the removal is known.
func lastRegistration(e *Entry) *Upstream {
	if e.ID == 0 {
		return nil
	}
	u := e.Upstream
	u.Name, u.RecordID, u.Warmup = "", RecordID{}, 0 // the change has the name and the record ID
	return &u
}

// newDeparted returns the entry of an upstream of which the catalog knew nothing before its
// removal.
func newDeparted(now time.Time, change *Change) *Entry {
	e := &Entry{Presence: Departed, PresenceSince: now.Add(-max(0, change.RemovedAge)), position: change.Position}
	e.Name, e.RecordID = change.Removed, change.LastRecord
	return e
}

// identifyDeparted completes a departed upstream by the last registration that another host
// knows, so that packets of its flows are not taken for those of an unknown upstream.
func (c *Catalog) identifyDeparted(e *Entry, change *Change) {
	newer := change.LastRecord.compare(e.RecordID) > 0
	if newer {
		e.RecordID = change.LastRecord
	}
	if last := change.LastRegistration; last != nil && last.ID != 0 && (newer || e.ID == 0) {
		name, record := e.Name, e.RecordID
		e.Upstream = *last
		e.Name, e.RecordID = name, record
		c.viewChanged = true
	}
}
