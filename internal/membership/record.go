package membership

import (
	"cmp"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Phase is what a host announces of itself.
type Phase uint8

// Phases in the order in which a host passes through them.
const (
	// Active hosts take ownership.
	Active Phase = iota + 1
	// Departing hosts hand over what they own.
	Departing
	// Left hosts have stopped.
	Left
)

// Record is what a host says of itself. Only the host itself writes its record;
// all others pass the newest version along.
type Record struct {
	ID host.ID
	// Generation orders the processes that have used the ID. It is the start time
	// in milliseconds, or more if a former process's generation was higher.
	Generation  uint64
	Incarnation host.Incarnation
	// Sequence orders the versions that one process writes.
	Sequence uint64
	Phase    Phase
	// Contacts are the keys of the hosts from which this host has lately heard.
	Contacts []Key
	// Host describes the host; it is nil in versions that only change the rest.
	Host *host.Host
}

// compare orders versions of one host's record.
func (r *Record) compare(other *Record) int {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
	)
}

// sameProcess reports whether both records are of the same process.
func (r *Record) sameProcess(other *Record) bool {
	return r.Generation == other.Generation && r.Incarnation == other.Incarnation
}

// Key is a short name of one process of a host ID in messages.
type Key uint32

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash returns a well-mixed hash of the ID and a salt.
func hash(id host.ID, salt uint64) uint64 {
	h := fnvOffset ^ mix(salt)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return mix(h)
}

// mix spreads every input bit over the result (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// key returns the key of the record's process.
func (r *Record) key() Key {
	return Key(hash(r.ID, uint64(r.Incarnation)))
}

// versionHash identifies one version of a record.
func (r *Record) versionHash() uint32 {
	return uint32(hash(r.ID, r.Generation^mix(uint64(r.Incarnation))^mix(r.Sequence+1)))
}
