package flow

// shardCount is the number of shards: a power of two, large compared with the
// number of workers.
const shardCount = 256

// Unconfirmed flows may take 1/unconfirmedDivisor of MaxFlows.
const unconfirmedDivisor = 4

// recordStore holds flow records in shards, each with its own lock.
type recordStore struct {
	shards [shardCount]shard
}

func newRecordStore(maxFlows int) *recordStore {
	r := &recordStore{}
	unconfirmed := max(1, maxFlows/unconfirmedDivisor/shardCount)
	confirmed := max(1, maxFlows/shardCount-unconfirmed)
	for i := range r.shards {
		r.shards[i].init(confirmed, unconfirmed)
	}
	return r
}

// shard returns the flow's shard. It depends on other bits of the ID than the slot.
func (r *recordStore) shard(id ID) *shard {
	return &r.shards[uint64(id)>>56&(shardCount-1)]
}

// counts returns the numbers of confirmed, unconfirmed and evicted records.
func (r *recordStore) counts() (confirmed, unconfirmed int, evicted uint64) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		confirmed += s.confirmed
		unconfirmed += s.unconfirmed
		evicted += s.evicted
		s.mu.Unlock()
	}
	return confirmed, unconfirmed, evicted
}
