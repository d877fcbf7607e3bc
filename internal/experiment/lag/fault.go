package lag

// Fault is how a source fails.
type Fault uint8

// Faults of sources.
const (
	// None is a source that works.
	None Fault = iota
	// Silent takes calls and answers none.
	Silent
	// SilentOnce loses the calls that wait when the fault begins. Later calls are answered.
	SilentOnce
	// Refusing rejects each call at once.
	Refusing
	// Slow answers slowFactor times slower.
	Slow
	// Lossy loses lossRate of the calls.
	Lossy
	// Old is a store that answers each call without news, at the position of the caller, as a
	// copy that is out of date does.
	Old
	// Starting has no complete catalog, or a listing that takes seconds.
	Starting
	// Cut is a host that answers, but none of whose own calls arrive. A store that is cut
	// off answers none.
	Cut
)

var faultNames = [...]string{"none", "silent", "silent-once", "refusing", "slow", "lossy", "old", "starting", "cut"}

// String returns the name of the fault as options have it.
func (f Fault) String() string { return faultNames[f] }

// HostFaults returns the faults that a host can have as a source of others.
func HostFaults() []Fault {
	return []Fault{Silent, SilentOnce, Refusing, Slow, Lossy, Starting, Cut}
}

// StoreFaults returns the faults that the store can have as a source of a host.
func StoreFaults() []Fault {
	return []Fault{Silent, SilentOnce, Refusing, Slow, Lossy, Old, Starting}
}

const (
	// slowFactor is the factor by which a slow source takes longer.
	slowFactor = 60
	// lossRate is the part of the calls that a lossy source loses.
	lossRate = 0.3
)
