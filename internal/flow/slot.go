package flow

// mode is how packets of a slot's flows are decided.
type mode uint8

const (
	// In untracked slots, all new flows go to the default.
	untracked mode = iota
	// In tracked slots, the owner decides all flows without a record.
	tracked
)

// phase is the state of a slot on its owner.
type phase uint8

const (
	// notOwner means that the slot is untracked or has another owner.
	notOwner phase = iota
	// collectingUntracked means that the owner collects the records of a slot that was
	// untracked: flows without a record still go to the default.
	collectingUntracked
	// collectingTracked means that the owner collects the records of a slot that had
	// another owner: flows without a record may be on any upstream.
	collectingTracked
	// active means that the owner has all records and assigns new flows.
	active
	// releasing means that the owner is making the slot untracked: new flows go to
	// the default.
	releasing
)

// slot is the state of a slot as this host knows it.
type slot struct {
	// term increases with every change of the owner; the state of the highest term
	// is in force.
	term  uint32
	owner hostRef
	// previous is the former owner while the new one collects its records.
	previous hostRef
	backup   hostRef
	mode     mode
	phase    phase
	// defaultTerm is the term in which the slot's default was set.
	defaultTerm uint32
}

// initialSlot is the state of a slot that has never been tracked.
var initialSlot = slot{owner: noHost, previous: noHost, backup: noHost}
