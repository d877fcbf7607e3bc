package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. A host resends a request until it is answered, so every
// message may be lost, duplicated or reordered.
const (
	// CollectRequest makes the receiver track the slots with the sender as their owner.
	CollectRequest Kind = iota + 1
	// CollectReply answers a CollectRequest with the records that the owner needs.
	CollectReply
	// ReplicateRequest sends records to a host that has to store them.
	ReplicateRequest
	// ReplicateReply acknowledges a ReplicateRequest.
	ReplicateReply
	// ReleaseRequest makes the slots untracked with new defaults.
	ReleaseRequest
	// ReleaseReply acknowledges a ReleaseRequest.
	ReleaseReply
	// TakeoverRequest asks the receiver to become the owner of slots that have no
	// live owner or about which hosts disagree.
	TakeoverRequest
	// StateRequest asks for the receiver's state of a service.
	StateRequest
	// StateReply answers a StateRequest.
	StateReply
	// DrainNotice lists upstreams that take no new flows from Version on.
	DrainNotice
)

// Limits on the lists of a message. Receivers discard messages that exceed them. A
// message always has room for the upstreams of its records and of the defaults of all
// slots, even if all are different.
const (
	MaxRecords   = 500
	MaxUpstreams = MaxRecords + slottable.Slots
)

// Message is a message between entry hosts. Its size is bounded.
type Message struct {
	Kind    Kind
	Service service.ID
	// Version is the version of the sender's configuration.
	Version config.Version
	// Term is the term of the slots' owner. In a StateReply or TakeoverRequest it is
	// the highest term that the sender has seen.
	Term uint32
	// Round identifies the request, to tell its replies from those to earlier requests.
	Round uint64
	// Attempt counts how often the request was sent.
	Attempt uint16
	// Slots are the slots that the message is about.
	Slots SlotSet
	// Part is the index of this message among the Parts of a reply. In a
	// ReplicateRequest and its reply it identifies the request within the round.
	Part, Parts uint16
	// Upstreams are the upstreams that Records and Defaults refer to by index.
	Upstreams []Target
	Records   RecordList
	// Defaults has one element per slot in Slots, in ascending order.
	Defaults []Default
	// Hosts are the hosts that Owners refers to by index.
	Hosts []host.ID
	// Owners has one element per slot in Slots in a StateReply.
	Owners []Owner
	// First is the lowest configuration version in which the sender, or any host
	// whose state it has merged, first had the service. It is set in a StateReply.
	First config.Version
	// Fresh is set in a StateRequest of a host that has no state of the service yet.
	Fresh bool
	// Leaving is set in a ReplicateRequest of a host that is leaving and will not keep
	// the records.
	Leaving bool
	// Unknown is set in a StateReply of a host that does not have the service.
	Unknown bool
}

// Target identifies an upstream in messages.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Default is a slot's default upstream and the term that set it.
type Default struct {
	Upstream uint16
	Term     uint32
}

// Owner is a slot's owner and its term.
type Owner struct {
	// Host is an index into Message.Hosts. It is valid for tracked slots only.
	Host    uint16
	Tracked bool
	Term    uint32
}

// valid reports whether the lists of the message are within the limits and
// consistent with each other.
func (m *Message) valid() bool {
	if len(m.Records) > MaxRecords || len(m.Upstreams) > MaxUpstreams {
		return false
	}
	n := m.Slots.Len()
	if len(m.Defaults) != 0 && len(m.Defaults) != n || len(m.Owners) != 0 && len(m.Owners) != n {
		return false
	}
	if m.Kind == StateReply && (len(m.Defaults) != n || len(m.Owners) != n) {
		return false
	}
	for _, r := range m.Records {
		if int(r.Upstream) >= len(m.Upstreams) {
			return false
		}
	}
	for _, o := range m.Owners {
		if o.Tracked && int(o.Host) >= len(m.Hosts) {
			return false
		}
	}
	for _, d := range m.Defaults {
		if d.Upstream != uint16(noUpstream) && int(d.Upstream) >= len(m.Upstreams) {
			return false
		}
	}
	return true
}
