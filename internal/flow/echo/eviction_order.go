package echo

import (
	"cmp"
	"slices"
)

// evictionOrder is a list of candidates in the order in which they are evicted. It has no
// pointers, which would make sorting several times slower.
type evictionOrder []evictionPlace

// evictionPlace is the place of a candidate in an evictionOrder.
type evictionPlace struct {
	rank evictionRank
	// index is that of the candidate among those visited.
	index int32
	// callerRecords is the number of records that its caller has when it is evicted in its
	// turn, or zero if the caller is not among those with the most.
	callerRecords int32
}

// first returns the given number of places that come first, in order.
func (o evictionOrder) first(limit int, visited []evictionCandidate) evictionOrder {
	o.sort(visited)
	return o[:max(0, min(limit, len(o)))]
}

// sort sorts the places by the number of their callers' records, the largest first, then by
// rank. The rest is ordered by flow, so that the order does not depend on that of a map.
func (o evictionOrder) sort(visited []evictionCandidate) {
	slices.SortFunc(o, func(a, b evictionPlace) int {
		switch {
		case a.callerRecords != b.callerRecords:
			return cmp.Compare(b.callerRecords, a.callerRecords)
		case a.rank != b.rank:
			return cmp.Compare(a.rank, b.rank)
		}
		x, y := &visited[a.index].key, &visited[b.index].key
		return cmp.Or(x.caller.Compare(y.caller), x.address.Compare(y.address))
	})
}
