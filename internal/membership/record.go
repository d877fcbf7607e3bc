package membership

import (
	"cmp"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Phase is the lifecycle phase that a host announces in its record.
type Phase uint8

// Phases, in the order in which a host passes through them.
const (
	// Active hosts take slots.
	Active Phase = iota + 1
	// Departing hosts hand over their slots.
	Departing
	// Left hosts have stopped.
	Left
)

// Record is the state that a host publishes about itself. Only the host itself creates
// new versions; all others pass on the newest version they know.
type Record struct {
	ID host.ID
	// Generation orders the processes that use the same ID. It is the start time in
	// Unix milliseconds, or one more than the generation of another process whose
	// record took precedence at startup.
	Generation  uint64
	Incarnation host.Incarnation
	// Sequence numbers the versions that one process publishes.
	Sequence uint64
	Phase    Phase
	// Contacts holds the keys of the hosts that are in contact with this host.
	Contacts []Key
	// Host is the host description. It is sent only to hosts that may lack it and is
	// nil otherwise.
	Host *host.Host
}

// compare orders two versions of one host's record.
func (r *Record) compare(other *Record) int {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
	)
}

// sameProcess reports whether both records belong to the same process.
func (r *Record) sameProcess(other *Record) bool {
	return r.Generation == other.Generation && r.Incarnation == other.Incarnation
}

// Key is a 32-bit hash that identifies one process of a host in messages.
type Key uint32

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashID returns a salted hash of the ID.
func hashID(id host.ID, salt uint64) uint64 {
	h := fnvOffset ^ mix(salt)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64: every input bit affects every bit of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// key returns the key of the record's process.
func (r *Record) key() Key {
	return Key(hashID(r.ID, uint64(r.Incarnation)))
}

// versionHash returns a hash that identifies one version of a record.
func (r *Record) versionHash() uint32 {
	return uint32(hashID(r.ID, r.Generation^mix(uint64(r.Incarnation))^mix(r.Sequence+1)))
}
