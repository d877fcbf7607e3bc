package flow

// shardCount is the number of shards; a power of two, large against the number of workers.
const shardCount = 256

// unconfirmedShare is the part of MaxFlows that unconfirmed flows may take.
const unconfirmedShare = 4

// records holds the records of flows in shards that are locked one at a time.
type records struct {
	shards [shardCount]shard
}

func newRecords(maxFlows int) *records {
	r := &records{}
	unconfirmed := max(1, maxFlows/unconfirmedShare/shardCount)
	confirmed := max(1, maxFlows/shardCount-unconfirmed)
	for i := range r.shards {
		r.shards[i].init(confirmed, unconfirmed)
	}
	return r
}

// shard returns the shard of the flow. It uses other bits than the slot does.
func (r *records) shard(id ID) *shard {
	return &r.shards[uint64(id)>>56&(shardCount-1)]
}

// counts returns the numbers of confirmed, unconfirmed and evicted records.
func (r *records) counts() (confirmed, unconfirmed int, evicted uint64) {
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
