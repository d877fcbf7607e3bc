package experiment

import "fmt"

// Cause is why a request was not answered in time.
type Cause uint8

// Causes, each with the time of a request that counts for it.
const (
	// DarkHost is the time after packets that reached no live host.
	DarkHost Cause = iota
	// DarkUpstream is the time after packets that were sent to an upstream which was silent or
	// cut off, or which never responds.
	DarkUpstream
	// FailedResponse is the time of attempts that ended with an error response.
	FailedResponse
	// Full is the time of attempts that an upstream rejected because its queue was full.
	Full
	// Refused is the time of attempts that a host refused with a reset.
	Refused
	// Held is the time in which a host held the packet.
	Held
	// QueuedAtUpstream is the time in an upstream's queue.
	QueuedAtUpstream
	// SYNCopied is the time after packets that reached another upstream than the caller's,
	// because a copy of the SYN opened the flow again there.
	SYNCopied
	// Other is all other time: transit, processing and packets that were lost.
	Other

	causeCount
)

var causeNames = [causeCount]string{
	DarkHost: "dark-host", DarkUpstream: "dark-upstream", FailedResponse: "failed", Full: "full", Refused: "refused",
	Held: "held", QueuedAtUpstream: "queued", SYNCopied: "syn-copied", Other: "other",
}

// String returns the cause's name in tables and JSON.
func (c Cause) String() string {
	if c >= causeCount {
		return fmt.Sprintf("Cause(%d)", uint8(c))
	}
	return causeNames[c]
}

// MarshalText returns the cause's name.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Causes returns all causes in the order of their columns.
func Causes() []Cause {
	all := make([]Cause, causeCount)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}
