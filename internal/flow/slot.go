package flow

// mode says how a slot's packets are decided.
type mode uint8

const (
	// plain slots send every flow to the slot's default.
	plain mode = iota
	// tracked slots leave unrecorded flows to the slot's owner.
	tracked
)

// phase is an owner's progress with a tracked slot.
type phase uint8

const (
	// notOwner means that another host owns the slot or that it is plain.
	notOwner phase = iota
	// collectingPlain means that the owner collects records of a slot that was
	// plain; unrecorded flows still go to the default.
	collectingPlain
	// collectingTracked means that the owner collects records of a slot that
	// was tracked before; unrecorded flows may be anywhere.
	collectingTracked
	// active means that the owner knows all records and assigns new flows.
	active
	// releasing means that the owner makes the slot plain and assigns only the default.
	releasing
)

// slot is the state of one slot on one host.
type slot struct {
	// term counts the slot's owners; the state of the highest term counts.
	term     uint32
	owner    hostRef
	previous hostRef
	backup   hostRef
	mode     mode
	phase    phase
	// defaultTerm is the term that set the slot's default.
	defaultTerm uint32
}

// initialSlot is the state of a slot that was never tracked.
var initialSlot = slot{owner: noHost, previous: noHost, backup: noHost}
