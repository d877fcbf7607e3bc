package flow

import (
	"slices"
	"sync"
)

const (
	// minShardSize is the number of buckets of a new shard.
	minShardSize = 8
	// A shard grows when more than maxLoadNumerator/maxLoadDenominator of its buckets are in use.
	maxLoadNumerator   = 4
	maxLoadDenominator = 5
	// A shard grows by the factor growthNumerator/growthDenominator.
	growthNumerator   = 3
	growthDenominator = 2
	// evictionSample is how many confirmed records are compared to evict one.
	evictionSample = 8
)

// bucket is one place in a shard. It is 32 bytes, half a cache line.
type bucket struct {
	id ID
	record
}

// shard is one part of the record store under its own lock: a hash table with
// linear probing in which deletions shift later records back.
type shard struct {
	mu      sync.Mutex
	buckets []bucket
	// confirmed counts the records of flows that this host saw twice or was told of.
	confirmed int
	// unconfirmed counts the records of flows that this host saw one packet of.
	// They have their own bound, so that a flood of them evicts nothing else.
	unconfirmed int
	// order lists unconfirmed flows, oldest first, from head.
	order []ID
	head  int
	// maxConfirmed and maxUnconfirmed bound the counts.
	maxConfirmed, maxUnconfirmed int
	evicted                      uint64
}

func (s *shard) init(maxConfirmed, maxUnconfirmed int) {
	s.buckets = make([]bucket, minShardSize)
	s.maxConfirmed, s.maxUnconfirmed = maxConfirmed, maxUnconfirmed
}

// home returns the first place to look for the flow at.
func (s *shard) home(id ID) int {
	return int(uint64(uint32(id>>homeShift)) * uint64(len(s.buckets)) >> 32)
}

// homeShift leaves out the hash bits that select the slot.
const homeShift = 10

// next returns the place after i.
func (s *shard) next(i int) int {
	if i++; i < len(s.buckets) {
		return i
	}
	return 0
}

// distance returns the number of steps from place i to place j.
func (s *shard) distance(i, j int) int {
	if j >= i {
		return j - i
	}
	return j - i + len(s.buckets)
}

// find returns the place of the flow's record, or the free place where it
// would go.
func (s *shard) find(id ID) (int, bool) {
	for i := s.home(id); ; i = s.next(i) {
		b := &s.buckets[i]
		if !b.used {
			return i, false
		}
		if b.id == id {
			return i, true
		}
	}
}

// touch finds the flow's record and notes the packet. A second packet confirms
// the record, unless it repeats the first; confirmed reports whether this one did.
func (s *shard) touch(id ID, now seconds, closing, repeats bool) (r record, found, confirmed bool) {
	i, found := s.find(id)
	if !found {
		return record{}, false, false
	}
	b := &s.buckets[i]
	b.seen = now
	b.closing = b.closing || closing
	if b.confirmed || repeats {
		return b.record, true, false
	}
	s.unconfirmed--
	if s.confirmed >= s.maxConfirmed {
		// Evicting moves records, so the flow's place is looked up again.
		s.unconfirmed++
		s.evictConfirmed(id)
		i, _ = s.find(id)
		b = &s.buckets[i]
		s.unconfirmed--
	}
	s.confirmed++
	b.confirmed = true
	return b.record, true, true
}

// peek finds the flow's record without changing it.
func (s *shard) peek(id ID) (record, bool) {
	i, found := s.find(id)
	return s.buckets[i].record, found
}

// noteOwner sets when the slot's owner last knew of the flow.
func (s *shard) noteOwner(id ID, now seconds) {
	if i, found := s.find(id); found {
		s.buckets[i].ownerSeen = now
	}
}

// confirm stores a confirmed record, evicting one when the shard is full.
func (s *shard) confirm(id ID, r record) {
	s.remove(id)
	if s.confirmed >= s.maxConfirmed {
		s.evictConfirmed(id)
	}
	r.confirmed = true
	s.insert(id, r)
	s.confirmed++
}

// add stores an unconfirmed record of a flow that the shard does not have,
// evicting the oldest one when there are too many.
func (s *shard) add(id ID, r record) {
	s.enqueue(id)
	r.confirmed = false
	s.insert(id, r)
	s.unconfirmed++
}

// enqueue puts the flow at the end of the order. It takes the place of the
// oldest flow if that is confirmed or gone, or if the order is full.
func (s *shard) enqueue(id ID) {
	if len(s.order) == 0 {
		s.order = append(s.order, id)
		return
	}
	i, found := s.find(s.order[s.head])
	waiting := found && !s.buckets[i].confirmed
	if waiting && len(s.order) < s.maxUnconfirmed {
		if s.head != 0 {
			s.order = append(slices.Clone(s.order[s.head:]), s.order[:s.head]...)
			s.head = 0
		}
		s.order = append(s.order, id)
		return
	}
	if waiting {
		s.removeAt(i)
		s.evicted++
	}
	s.order[s.head] = id
	s.head = (s.head + 1) % len(s.order)
}

// insert puts a record that the shard does not have into its place.
func (s *shard) insert(id ID, r record) {
	if (s.confirmed+s.unconfirmed+1)*maxLoadDenominator > len(s.buckets)*maxLoadNumerator {
		s.grow()
	}
	i, _ := s.find(id)
	r.used = true
	s.buckets[i] = bucket{id, r}
}

func (s *shard) grow() {
	old := s.buckets
	s.buckets = make([]bucket, len(old)*growthNumerator/growthDenominator)
	for i := range old {
		if old[i].used {
			place, _ := s.find(old[i].id)
			s.buckets[place] = old[i]
		}
	}
}

// remove deletes the flow's record, if there is one.
func (s *shard) remove(id ID) {
	if i, found := s.find(id); found {
		s.removeAt(i)
	}
}

// removeAt deletes the record at place i and closes the gap.
func (s *shard) removeAt(i int) {
	if s.buckets[i].confirmed {
		s.confirmed--
	} else {
		s.unconfirmed--
	}
	for j := s.next(i); s.buckets[j].used; j = s.next(j) {
		// A record may move back to i unless its home lies after i.
		if s.distance(s.home(s.buckets[j].id), j) >= s.distance(i, j) {
			s.buckets[i] = s.buckets[j]
			i = j
		}
	}
	s.buckets[i] = bucket{}
}

// removeIf deletes the records that over reports true for.
func (s *shard) removeIf(over func(ID, *record) bool) {
	for i := 0; i < len(s.buckets); {
		b := &s.buckets[i]
		if b.used && over(b.id, &b.record) {
			// Closing the gap may have moved another record here.
			s.removeAt(i)
			continue
		}
		i++
	}
}

// evictConfirmed removes the flow that was idle longest among a few, closing
// flows first. It never removes the flow itself.
func (s *shard) evictConfirmed(id ID) {
	victim, n := -1, 0
	i := s.home(id)
	for range s.buckets {
		i = s.next(i)
		b := &s.buckets[i]
		if n == evictionSample {
			break
		}
		if !b.used || !b.confirmed || b.id == id {
			continue
		}
		n++
		if victim < 0 || staler(&b.record, &s.buckets[victim].record) {
			victim = i
		}
	}
	if victim >= 0 {
		s.removeAt(victim)
		s.evicted++
	}
}

func staler(a, b *record) bool {
	if a.closing != b.closing {
		return a.closing
	}
	return a.seen < b.seen
}
