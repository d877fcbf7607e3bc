package echo

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Verdict is what to do with a packet.
type Verdict uint8

// Possible verdicts.
const (
	// Drop discards the packet.
	Drop Verdict = iota
	// Forward sends the packet to the decision's upstream.
	Forward
	// Reset answers the caller with a RST.
	Reset
	// Hold keeps the packet for a later decision: until the next view, because the engine
	// does not know enough yet, or until NextAdmitted returns the packet's flow.
	Hold
)

var verdictNames = [...]string{Drop: "drop", Forward: "forward", Reset: "reset", Hold: "hold"}

// String returns the verdict in lower case.
func (v Verdict) String() string { return verdictNames[v] }

// Verdicts returns all verdicts.
func Verdicts() []Verdict { return []Verdict{Drop, Forward, Reset, Hold} }

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Upstream, Address and Token are set when the verdict is Forward.
	Upstream catalog.UpstreamID
	Address  netip.AddrPort
	Token    Token
	// ResponseTime is the response time if the packet acknowledges a response, or zero.
	ResponseTime time.Duration
	// Detail is empty if the engine has no configuration, and for forwarded packets
	// other than SYNs.
	Detail Detail
}
