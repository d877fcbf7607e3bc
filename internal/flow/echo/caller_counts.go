package echo

import (
	"cmp"
	"net/netip"
	"slices"
)

// maxCountedCallers is the number of callers whose flow records are counted.
const maxCountedCallers = 1024

// callerCounts counts the flow records of the callers that have the most (the algorithm of
// Misra and Gries). A count is never above the caller's number of records, and below it by
// shortfall at most. After n additions shortfall is at most n/(maxCountedCallers+1), so each
// caller with more records than that is counted.
type callerCounts struct {
	// records is nil while nothing is counted.
	records   map[netip.Addr]int
	shortfall int
	// added is the number of additions since the reset.
	added int
}

func (c *callerCounts) active() bool { return c.records != nil }

// reset starts to count from zero.
func (c *callerCounts) reset() {
	if c.records == nil {
		c.records = make(map[netip.Addr]int)
	}
	clear(c.records)
	c.shortfall, c.added = 0, 0
}

// add counts a new record of the caller. A caller that finds all counters in use lowers
// each of them by one, which takes time for the work of as many earlier additions.
func (c *callerCounts) add(caller netip.Addr) {
	c.added++
	n, counted := c.records[caller]
	if counted || len(c.records) < maxCountedCallers {
		c.records[caller] = n + 1
		return
	}
	for other := range c.records {
		c.remove(other)
	}
	c.shortfall++
}

// remove takes a removed record out of the caller's count, if it has one.
func (c *callerCounts) remove(caller netip.Addr) {
	switch n := c.records[caller]; n {
	case 0:
	case 1:
		delete(c.records, caller)
	default:
		c.records[caller] = n - 1
	}
}

// most returns the caller with the highest count, and the count.
func (c *callerCounts) most() (caller netip.Addr, records int) {
	for other, n := range c.records {
		if n > records || n == records && other.Less(caller) {
			caller, records = other, n
		}
	}
	return caller, records
}

// level returns the number of records to which the callers above it must be lowered to free
// the given number of records. Callers whose counts differ by no more than the shortfall
// from an uncounted one's are equals of those, and are not lowered any further.
func (c *callerCounts) level(free int) int {
	counts := make([]int, 0, len(c.records)+1)
	for _, n := range c.records {
		counts = append(counts, n)
	}
	lowest := max(1, c.shortfall)
	counts = append(counts, lowest)
	slices.SortFunc(counts, func(a, b int) int { return cmp.Compare(b, a) })
	for i, n := range counts {
		if n <= lowest {
			break
		}
		callers := i + 1
		if freed := (n - counts[callers]) * callers; freed < free {
			free -= freed
			continue
		}
		return n - (free+callers-1)/callers
	}
	return lowest
}
