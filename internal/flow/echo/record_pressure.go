package echo

import "net/netip"

// RecordPressure tells what has happened because the table of flow records was full.
type RecordPressure struct {
	// Records is the number of flow records.
	Records int
	// Evicted and Refused are the numbers of evicted records and of refused flows. In an
	// Event they are those since the previous one.
	Evicted, Refused uint64
	// Caller is the caller with the most records, as far as they are counted, and
	// CallerRecords their number; it may have up to CountError more. They are zero while
	// the table is not full.
	Caller                    netip.Addr
	CallerRecords, CountError int
}

// pressure returns the numbers since the start of the engine, which has the given number of
// records.
func (l *recordLimit) pressure(records int) RecordPressure {
	p := RecordPressure{Records: records, Refused: l.refused, CountError: l.counts.shortfall}
	for _, n := range l.evicted {
		p.Evicted += n
	}
	p.Caller, p.CallerRecords = l.counts.most()
	return p
}
