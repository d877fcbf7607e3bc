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
	// evictionSample is the number of confirmed records of which the stalest is evicted.
	evictionSample = 8
)

// bucket holds one record. It is 32 bytes, half a cache line.
type bucket struct {
	id ID
	record
}

// shard is a part of the record store with its own lock. It is a hash table with
// linear probing; a deletion shifts later records back to close the gap.
type shard struct {
	mu      sync.Mutex
	buckets []bucket
	// confirmed counts the confirmed records.
	confirmed int
	// unconfirmed counts the records of flows of which this host has seen one
	// packet only. They are bounded separately, so that a flood of first packets
	// does not evict established flows.
	unconfirmed int
	// unconfirmedQueue is a ring buffer of unconfirmed flows; the oldest is at
	// queueHead.
	unconfirmedQueue []ID
	queueHead        int
	// maxConfirmed and maxUnconfirmed bound the counts.
	maxConfirmed, maxUnconfirmed int
	evicted                      uint64
}

func (s *shard) init(maxConfirmed, maxUnconfirmed int) {
	s.buckets = make([]bucket, minShardSize)
	s.maxConfirmed, s.maxUnconfirmed = maxConfirmed, maxUnconfirmed
}

// homeBucket returns the bucket at which probing for the flow starts.
func (s *shard) homeBucket(id ID) int {
	return int(uint64(uint32(id>>homeBucketShift)) * uint64(len(s.buckets)) >> 32)
}

// homeBucketShift skips the hash bits that select the slot.
const homeBucketShift = 10

// next returns the bucket after i, wrapping around.
func (s *shard) next(i int) int {
	if i++; i < len(s.buckets) {
		return i
	}
	return 0
}

// probeDistance returns the number of probing steps from bucket i to bucket j.
func (s *shard) probeDistance(i, j int) int {
	if j >= i {
		return j - i
	}
	return j - i + len(s.buckets)
}

// find returns the bucket of the flow's record, or the empty bucket where it would
// be inserted.
func (s *shard) find(id ID) (int, bool) {
	for i := s.homeBucket(id); ; i = s.next(i) {
		b := &s.buckets[i]
		if !b.occupied {
			return i, false
		}
		if b.id == id {
			return i, true
		}
	}
}

// touch returns the flow's record and updates it for a packet. A repeated first
// packet leaves the record unconfirmed, any other confirms it; confirmed reports
// whether this one did.
func (s *shard) touch(id ID, now seconds, closing, repeated bool) (r record, found, confirmed bool) {
	i, found := s.find(id)
	if !found {
		return record{}, false, false
	}
	b := &s.buckets[i]
	b.lastSeen = now
	b.closing = b.closing || closing
	if b.confirmed || repeated {
		return b.record, true, false
	}
	s.unconfirmed--
	if s.confirmed >= s.maxConfirmed {
		// Eviction moves records, so the flow's bucket has to be found again.
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

// get returns the flow's record without updating it.
func (s *shard) get(id ID) (record, bool) {
	i, found := s.find(id)
	return s.buckets[i].record, found
}

// setOwnerSeen sets the ownerSeen time of the flow's record.
func (s *shard) setOwnerSeen(id ID, now seconds) {
	if i, found := s.find(id); found {
		s.buckets[i].ownerSeen = now
	}
}

// addConfirmed stores a confirmed record in place of any that the flow has. If
// there are too many, it evicts another one.
func (s *shard) addConfirmed(id ID, r record) {
	s.remove(id)
	if s.confirmed >= s.maxConfirmed {
		s.evictConfirmed(id)
	}
	r.confirmed = true
	s.insert(id, r)
	s.confirmed++
}

// addUnconfirmed stores an unconfirmed record of a flow that has none. If there
// are too many, it evicts the oldest one.
func (s *shard) addUnconfirmed(id ID, r record) {
	s.enqueueUnconfirmed(id)
	r.confirmed = false
	s.insert(id, r)
	s.unconfirmed++
}

// enqueueUnconfirmed appends the flow to the queue. It takes the position of the
// oldest flow if that is no longer unconfirmed, or if the queue is full; only in
// the latter case is a record evicted.
func (s *shard) enqueueUnconfirmed(id ID) {
	if len(s.unconfirmedQueue) == 0 {
		s.unconfirmedQueue = append(s.unconfirmedQueue, id)
		return
	}
	i, found := s.find(s.unconfirmedQueue[s.queueHead])
	unconfirmed := found && !s.buckets[i].confirmed
	if unconfirmed && len(s.unconfirmedQueue) < s.maxUnconfirmed {
		if s.queueHead != 0 {
			s.unconfirmedQueue = append(slices.Clone(s.unconfirmedQueue[s.queueHead:]), s.unconfirmedQueue[:s.queueHead]...)
			s.queueHead = 0
		}
		s.unconfirmedQueue = append(s.unconfirmedQueue, id)
		return
	}
	if unconfirmed {
		s.removeAt(i)
		s.evicted++
	}
	s.unconfirmedQueue[s.queueHead] = id
	s.queueHead = (s.queueHead + 1) % len(s.unconfirmedQueue)
}

// insert stores the record of a flow that has none.
func (s *shard) insert(id ID, r record) {
	if (s.confirmed+s.unconfirmed+1)*maxLoadDenominator > len(s.buckets)*maxLoadNumerator {
		s.grow()
	}
	i, _ := s.find(id)
	r.occupied = true
	s.buckets[i] = bucket{id, r}
}

func (s *shard) grow() {
	old := s.buckets
	s.buckets = make([]bucket, len(old)*growthNumerator/growthDenominator)
	for i := range old {
		if old[i].occupied {
			j, _ := s.find(old[i].id)
			s.buckets[j] = old[i]
		}
	}
}

// remove deletes the flow's record if there is one.
func (s *shard) remove(id ID) {
	if i, found := s.find(id); found {
		s.removeAt(i)
	}
}

// removeAt deletes the record in bucket i and closes the gap.
func (s *shard) removeAt(i int) {
	if s.buckets[i].confirmed {
		s.confirmed--
	} else {
		s.unconfirmed--
	}
	for j := s.next(i); s.buckets[j].occupied; j = s.next(j) {
		// A record may move back to i unless its home bucket lies after i.
		if s.probeDistance(s.homeBucket(s.buckets[j].id), j) >= s.probeDistance(i, j) {
			s.buckets[i] = s.buckets[j]
			i = j
		}
	}
	s.buckets[i] = bucket{}
}

// removeIf deletes the records for which expired returns true.
func (s *shard) removeIf(expired func(ID, *record) bool) {
	for i := 0; i < len(s.buckets); {
		b := &s.buckets[i]
		if b.occupied && expired(b.id, &b.record) {
			// Closing the gap may have moved another record into this bucket.
			s.removeAt(i)
			continue
		}
		i++
	}
}

// evictConfirmed removes the stalest of a few confirmed records near the flow's
// home bucket, but never the flow's own.
func (s *shard) evictConfirmed(id ID) {
	victim, n := -1, 0
	i := s.homeBucket(id)
	for range s.buckets {
		i = s.next(i)
		b := &s.buckets[i]
		if n == evictionSample {
			break
		}
		if !b.occupied || !b.confirmed || b.id == id {
			continue
		}
		n++
		if victim < 0 || evictBefore(&b.record, &s.buckets[victim].record) {
			victim = i
		}
	}
	if victim >= 0 {
		s.removeAt(victim)
		s.evicted++
	}
}

func evictBefore(a, b *record) bool {
	if a.closing != b.closing {
		return a.closing
	}
	return a.lastSeen < b.lastSeen
}
