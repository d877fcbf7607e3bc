package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Kind says what a message is about.
type Kind uint8

// Kinds of messages. A host repeats a request until it is answered, so any
// message may get lost, repeated or reordered.
const (
	// Collect makes its receivers track the slots under the sender as owner.
	Collect Kind = iota + 1
	// Collected answers Collect with the records that the owner needs.
	Collected
	// Replicate gives records to the backup.
	Replicate
	// Replicated answers Replicate.
	Replicated
	// Release makes the slots plain with new defaults.
	Release
	// Released answers Release.
	Released
	// Orphaned asks the receiver to take over slots without a live owner.
	Orphaned
	// Hello asks for the receiver's state of a service.
	Hello
	// State answers Hello.
	State
	// Draining reports upstreams that take no new flows from Version on.
	Draining
)

// Limits on a message's lists; receivers drop messages that exceed them.
const (
	MaxRecords   = 500
	MaxUpstreams = 512
)

// Message is what entry hosts tell each other about flows. Its size is bounded.
type Message struct {
	Kind    Kind
	Service service.ID
	// Version is the sender's configuration version of the service.
	Version config.Version
	// Term is the term of the slots' owner.
	Term uint32
	// Round identifies a request, so that answers to an earlier one are told apart.
	Round uint64
	// Attempt counts the repetitions of a request.
	Attempt uint16
	// Slots are the slots concerned.
	Slots SlotSet
	// Part of Parts is the number of this message in an answer.
	Part, Parts uint16
	// Upstreams are the upstreams that Records and Defaults refer to by index.
	Upstreams []Target
	Records   RecordList
	// Defaults has one element for each of Slots, in ascending order.
	Defaults []Default
	// Hosts are the hosts that Owners refers to by index.
	Hosts []host.ID
	// Owners has one element for each of Slots in a State message.
	Owners []Owner
	// First is the version under which the sender first saw the service.
	First config.Version
	// Fresh is set in a Hello message of a host that has no state of the service yet.
	Fresh bool
	// Leaving is set in a Replicate message of records that the sender will not keep.
	Leaving bool
	// Unknown is set in a State message of a host that does not have the service.
	Unknown bool
}

// Target names an upstream across hosts.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Default is the default upstream of a slot and the term that set it.
type Default struct {
	Upstream uint16
	Term     uint32
}

// Owner is the owner of a slot and its term.
type Owner struct {
	// Host is an index into Hosts; it counts for tracked slots only.
	Host    uint16
	Tracked bool
	Term    uint32
}

// valid reports whether the message keeps the limits and its lists agree.
func (m *Message) valid() bool {
	if len(m.Records) > MaxRecords || len(m.Upstreams) > MaxUpstreams {
		return false
	}
	n := m.Slots.Len()
	if len(m.Defaults) != 0 && len(m.Defaults) != n || len(m.Owners) != 0 && len(m.Owners) != n {
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
