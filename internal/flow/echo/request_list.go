package echo

// requestList holds the flows of a route with an outstanding request, in the order of the
// requests. Requests of a route become overdue in this order, so those that are due are
// found without looking at the others. Flows link each other: adding and removing one takes
// constant time and no memory.
type requestList struct {
	first, last *flowRecord
}

// requestLinks are the links of a flow in a requestList.
type requestLinks struct {
	// list is the list that holds the flow, or nil.
	list           *requestList
	previous, next *flowRecord
}

// add adds the flow at the end, after removing it from the list that held it.
func (l *requestList) add(r *flowRecord) {
	r.unlist()
	r.links = requestLinks{list: l, previous: l.last}
	if l.last == nil {
		l.first = r
	} else {
		l.last.links.next = r
	}
	l.last = r
}

// unlist removes the flow from the list that holds it, if any.
func (r *flowRecord) unlist() {
	links := &r.links
	if links.list == nil {
		return
	}
	if links.previous == nil {
		links.list.first = links.next
	} else {
		links.previous.links.next = links.next
	}
	if links.next == nil {
		links.list.last = links.previous
	} else {
		links.next.links.previous = links.previous
	}
	*links = requestLinks{}
}
