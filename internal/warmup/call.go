package warmup

import "time"

// CallKind is the kind of a call to the store.
type CallKind uint8

// Kinds of calls.
const (
	// Read reads the permissions and the mark.
	Read CallKind = iota + 1
	// Grant requests a lease of LeaseTTL.
	Grant
	// Acquire writes the permissions for shares with the lease, provided that none of them
	// exists.
	Acquire
	// Renew extends the lease by LeaseTTL.
	Renew
)

var callNames = [...]string{Read: "read", Grant: "grant", Acquire: "acquire", Renew: "renew"}

// CallKinds returns all kinds of calls.
func CallKinds() []CallKind { return []CallKind{Read, Grant, Acquire, Renew} }

// String returns the kind in lower case.
func (k CallKind) String() string { return callNames[k] }

// Call is a call to the store.
type Call struct {
	Kind CallKind
	// Shares are the shares of an Acquire call, at most maxShares, and Value is the value
	// of their keys.
	Shares []Share
	Value  string
	// Mark is set if the Acquire call also has to write the mark with the number Epoch.
	Mark bool
	// Lease is the lease of an Acquire or Renew call, which was granted in Epoch.
	Lease, Epoch uint64
	// sent is when the call was made at the earliest.
	sent time.Duration
}

// Outcome is the outcome of a call.
type Outcome uint8

// Outcomes of calls.
const (
	// Failed means that the call may have had an effect or not.
	Failed Outcome = iota
	// Done means that the call succeeded.
	Done
	// Conflict means that some of the permissions exist already.
	Conflict
	// LeaseEnded means that the store does not have the lease.
	LeaseEnded
)

var outcomeNames = [...]string{Failed: "failed", Done: "done", Conflict: "conflict", LeaseEnded: "lease-ended"}

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Failed, Done, Conflict, LeaseEnded} }

// String returns the outcome's label in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	// Epoch is the epoch of the response; meaningless if the outcome is Failed.
	Epoch uint64
	// Lease is the lease of a Grant call.
	Lease uint64
	// Found holds the values of the permissions that a Read call returned, or of those
	// that made an Acquire call fail.
	Found map[Share]string
	// Mark is the number in the mark that a Read call returned, and Marked is set if there
	// is one.
	Mark   uint64
	Marked bool
}
