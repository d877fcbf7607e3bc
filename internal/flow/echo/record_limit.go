package echo

import (
	"net/netip"
	"time"
)

const (
	// callerShareDivisor determines the share of the table above which a caller's new flows
	// are refused when none of its idle records can be evicted for them. An eighth is more
	// than the host's mean of callers behind one address, and leaves room for others when
	// several callers open flows without limit.
	callerShareDivisor = 8
	// maxVisitedRecords is the number of records that a search visits, apart from the counts,
	// which take all. It bounds the time for which most searches hold the engine's lock.
	maxVisitedRecords = 1 << 14
	// evictionBatchDivisor determines the share of the visited records that a search selects,
	// so that an eviction costs four visits.
	evictionBatchDivisor = 4
	// minEvictionBatch is the number of records that a search selects of a small table.
	minEvictionBatch = 64
	// maxLeadDivisor determines the share of the table by which a new flow's caller may have
	// more records than the one whose record is evicted for it. Beyond that there is another
	// search, so that a caller that has grown since the last one gives way itself, but not
	// before as many records have been added.
	maxLeadDivisor = 8
	// maxSelectionAge is how long the records of a search may be evicted. Other records
	// close and become idle meanwhile.
	maxSelectionAge = time.Second
	// recordReportInterval is the minimum time between two RecordsFull events.
	recordReportInterval = 10 * time.Second
)

// recordLimit selects the records to evict while the table of flow records is full: closed
// ones first, then those of the callers with the most. It neither counts nor selects
// anything before the table is full.
type recordLimit struct {
	counts callerCounts
	// selected are the records of visited to evict, the first one next, as of selectedAt.
	visited    []evictionCandidate
	selected   evictionOrder
	selectedAt time.Time
	// others are the visited records of callers that are not among those with the most. The
	// first othersLimit of them follow those selected. They are sorted only when needed.
	others      evictionOrder
	othersLimit int
	// addedAtSearch is counts.added at the time of the last search.
	addedAtSearch int
	// evicted counts the evicted records by state, and refused the refused flows.
	evicted [recordStateCount]uint64
	refused uint64
	// reported and reportedAt are the numbers and the time of the last RecordsFull event.
	reported   RecordPressure
	reportedAt time.Time
}

// next returns the record to evict next, which stays selected, in favour of the caller.
func (l *recordLimit) next(now time.Time, records map[flowKey]*flowRecord, caller netip.Addr) *evictionCandidate {
	if now.Sub(l.selectedAt) >= maxSelectionAge {
		l.selected, l.others = nil, nil
	}
	if margin := len(records) / maxLeadDivisor; len(l.selected) > 0 && l.counts.added-l.addedAtSearch > margin {
		if lead := l.counts.records[caller] - int(l.selected[0].callerRecords); lead > margin {
			l.selected, l.others = nil, nil
		}
	}
	for {
		for len(l.selected) > 0 {
			if c := &l.visited[l.selected[0].index]; records[c.key] == c.rec && rankOf(c.rec, l.selectedAt) == c.rank {
				return c
			}
			l.selected = l.selected[1:]
		}
		if len(l.others) > 0 {
			l.selected, l.others = l.others.first(l.othersLimit, l.visited), nil
			continue
		}
		l.search(now, records)
	}
}

// search selects the records to evict. There must be a record. It counts the callers' records
// again once as many have been added as there were, because the shortfall of the counts grows
// with the additions. In a table with more than maxVisitedRecords it visits those where the
// iteration of the map happens to begin, which is a random place.
func (l *recordLimit) search(now time.Time, records map[flowKey]*flowRecord) {
	if !l.counts.active() || l.counts.added >= 2*len(records) {
		l.counts.reset()
		for key := range records {
			l.counts.add(key.caller.Addr())
		}
	}
	l.selectedAt = now
	l.addedAtSearch = l.counts.added
	limit := min(len(records), maxVisitedRecords)
	var closed evictionOrder
	batch := min(limit, max(minEvictionBatch, limit/evictionBatchDivisor))
	level := l.counts.level(batch)
	l.others, l.othersLimit = nil, batch
	largest := make(map[netip.Addr]evictionOrder)
	for caller, n := range l.counts.records {
		if n > level {
			largest[caller] = nil
			l.othersLimit -= n - level
		}
	}
	l.visited = make([]evictionCandidate, 0, limit)
	for key, rec := range records {
		place := evictionPlace{rank: rankOf(rec, now), index: int32(len(l.visited))}
		l.visited = append(l.visited, evictionCandidate{key: key, rec: rec, rank: place.rank})
		if place.rank.state() == RecordClosed {
			closed = append(closed, place)
		} else if order, found := largest[key.caller.Addr()]; found {
			largest[key.caller.Addr()] = append(order, place)
		} else {
			l.others = append(l.others, place)
		}
		if len(l.visited) == limit {
			break
		}
	}
	l.selected = closed.first(batch, l.visited)
	var ofLargest evictionOrder
	for caller, order := range largest {
		n := l.counts.records[caller]
		for i, place := range order.first(n-level, l.visited) {
			place.callerRecords = int32(n - i)
			ofLargest = append(ofLargest, place)
		}
	}
	ofLargest.sort(l.visited)
	l.selected = append(l.selected, ofLargest...)
	if len(l.selected) == 0 {
		l.othersLimit = max(1, l.othersLimit) // no record visited is of the largest callers
	}
}

// aboveShare reports whether the caller has more records than its share of the table.
func (l *recordLimit) aboveShare(caller netip.Addr, maxFlows int) bool {
	return l.counts.records[caller] > maxFlows/callerShareDivisor
}

// forget drops the state once no record has been evicted for a while.
func (l *recordLimit) forget(now time.Time) {
	if now.Sub(l.selectedAt) > 2*maxSelectionAge {
		l.selected, l.others, l.visited, l.counts = nil, nil, nil, callerCounts{}
	}
}

// makeRoom evicts a record if the table is full, so that a flow can be recorded. It returns
// false if that is a new flow that must be refused instead: its caller has more records than
// its share, and a flow that is opening or awaits an answer would lose its record.
func (e *Engine) makeRoom(now time.Time, key flowKey, refusable bool) bool {
	if len(e.records) < e.options.MaxFlows || e.records[key] != nil {
		return true
	}
	l := &e.recordLimit
	victim := l.next(now, e.records, key.caller.Addr())
	state := victim.rank.state()
	if refusable && state >= RecordOpening && l.aboveShare(key.caller.Addr(), e.options.MaxFlows) {
		l.refused++
		return false
	}
	l.evicted[state]++
	e.removeRecord(victim.key, victim.rec)
	l.selected = l.selected[1:]
	return true
}

// reportRecordLimit reports that records have been evicted or flows refused because the table
// was full, if any were since the last report.
func (e *Engine) reportRecordLimit(now time.Time) {
	l := &e.recordLimit
	p := l.pressure(len(e.records))
	if p.Evicted == l.reported.Evicted && p.Refused == l.reported.Refused || !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < recordReportInterval {
		return
	}
	since := p
	since.Evicted -= l.reported.Evicted
	since.Refused -= l.reported.Refused
	l.reported, l.reportedAt = p, now
	e.report(Event{Kind: RecordsFull, Records: since})
}
