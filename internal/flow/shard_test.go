package flow

import (
	"testing"

	"pgregory.net/rapid"
)

// TestShardAgainstMap compares a shard with a map under random operations.
func TestShardAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxConfirmed, maxUnconfirmed = 40, 12
		var s shard
		s.init(maxConfirmed, maxUnconfirmed)
		want := make(map[ID]record)
		ids := rapid.Uint64Range(0, 60)
		t.Repeat(map[string]func(*rapid.T){
			"touch": func(t *rapid.T) {
				id := ID(ids.Draw(t, "id") << 39)
				_, found, _ := s.touch(id, 7, false, false)
				r, ok := want[id]
				if found && (!ok || r.upstream != s.recordOf(id).upstream) {
					t.Fatalf("found %x, which was not stored", id)
				}
				if !found {
					s.addUnconfirmed(id, record{upstream: upstreamRef(id >> 39)})
					want[id] = record{upstream: upstreamRef(id >> 39)}
				}
			},
			"remove": func(t *rapid.T) {
				id := ID(ids.Draw(t, "id") << 39)
				s.remove(id)
				delete(want, id)
			},
			"sweep": func(t *rapid.T) {
				odd := func(id ID) bool { return id>>39&1 == 1 }
				s.removeIf(func(id ID, _ *record) bool { return odd(id) })
				for id := range want {
					if odd(id) {
						delete(want, id)
					}
				}
			},
			"": func(t *rapid.T) {
				confirmed, unconfirmed := 0, 0
				for i := range s.buckets {
					b := &s.buckets[i]
					if !b.occupied {
						continue
					}
					if index, found := s.find(b.id); !found || index != i {
						t.Fatalf("%x is in bucket %d but was found in bucket %d", b.id, i, index)
					}
					if b.confirmed {
						confirmed++
					} else {
						unconfirmed++
					}
				}
				if confirmed != s.confirmed || unconfirmed != s.unconfirmed || unconfirmed > maxUnconfirmed || confirmed > maxConfirmed {
					t.Fatalf("counted %d confirmed and %d unconfirmed records, but the shard has %d and %d", confirmed, unconfirmed, s.confirmed, s.unconfirmed)
				}
				if s.evicted == 0 && confirmed+unconfirmed != len(want) {
					t.Fatalf("%d records, want %d", confirmed+unconfirmed, len(want))
				}
			},
		})
	})
}

func (s *shard) recordOf(id ID) record {
	r, _ := s.get(id)
	return r
}
