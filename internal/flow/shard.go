package flow

import "sync"

// evictionSample is how many confirmed records are compared to evict one.
const evictionSample = 8

// shard is one part of the record store under its own lock.
type shard struct {
	mu sync.Mutex
	// confirmed records are of flows that this host saw twice or was told of.
	confirmed map[ID]record
	// unconfirmed records are of flows that this host saw one packet of. They
	// have their own bound, so that a flood of them evicts nothing else.
	unconfirmed map[ID]record
	// order lists unconfirmed flows, oldest first, from head.
	order []ID
	head  int
	// maxConfirmed and maxUnconfirmed bound the maps.
	maxConfirmed, maxUnconfirmed int
	evicted                      uint64
}

func (s *shard) init(maxConfirmed, maxUnconfirmed int) {
	s.confirmed = make(map[ID]record)
	s.unconfirmed = make(map[ID]record)
	s.maxConfirmed, s.maxUnconfirmed = maxConfirmed, maxUnconfirmed
}

// touch finds the flow's record and notes the packet. A second packet confirms
// the record, unless it repeats the first; confirmed reports whether this one did.
func (s *shard) touch(id ID, now seconds, closing, repeats bool) (r record, found, confirmed bool) {
	r, known := s.confirmed[id]
	if !known {
		if r, found = s.unconfirmed[id]; !found {
			return record{}, false, false
		}
	}
	if known && r.seen == now && r.closing == (r.closing || closing) {
		return r, true, false
	}
	r.seen = now
	r.closing = r.closing || closing
	switch {
	case known:
		s.confirmed[id] = r
	case repeats:
		s.unconfirmed[id] = r
	default:
		delete(s.unconfirmed, id)
		s.confirm(id, r)
	}
	return r, true, !known && !repeats
}

// update replaces the flow's record.
func (s *shard) update(id ID, r record) {
	if _, ok := s.confirmed[id]; ok {
		s.confirmed[id] = r
		return
	}
	if _, ok := s.unconfirmed[id]; ok {
		s.unconfirmed[id] = r
	}
}

// peek finds the flow's record without changing it.
func (s *shard) peek(id ID) (record, bool) {
	if r, ok := s.confirmed[id]; ok {
		return r, true
	}
	r, ok := s.unconfirmed[id]
	return r, ok
}

// confirm stores a confirmed record, evicting one when the shard is full.
func (s *shard) confirm(id ID, r record) {
	if _, ok := s.confirmed[id]; !ok && len(s.confirmed) >= s.maxConfirmed {
		s.evictConfirmed()
	}
	s.confirmed[id] = r
}

// evictConfirmed removes the flow that was idle longest among a few, closing flows first.
func (s *shard) evictConfirmed() {
	var victim ID
	var oldest record
	n := 0
	for id, r := range s.confirmed {
		if n == 0 || staler(r, oldest) {
			victim, oldest = id, r
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(s.confirmed, victim)
	s.evicted++
}

func staler(a, b record) bool {
	if a.closing != b.closing {
		return a.closing
	}
	return a.seen < b.seen
}

// add stores an unconfirmed record, evicting the oldest one when there are too many.
func (s *shard) add(id ID, r record) {
	if _, ok := s.unconfirmed[id]; !ok {
		s.enqueue(id)
	}
	s.unconfirmed[id] = r
}

// enqueue puts the flow at the end of the order and keeps the order bounded.
func (s *shard) enqueue(id ID) {
	if len(s.order) < s.maxUnconfirmed {
		s.order = append(s.order, id)
		return
	}
	if _, ok := s.unconfirmed[s.order[s.head]]; ok {
		delete(s.unconfirmed, s.order[s.head])
		s.evicted++
	}
	s.order[s.head] = id
	s.head = (s.head + 1) % s.maxUnconfirmed
}

// remove deletes the flow's record.
func (s *shard) remove(id ID) {
	delete(s.confirmed, id)
	delete(s.unconfirmed, id)
}
