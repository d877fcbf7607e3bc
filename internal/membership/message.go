package membership

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Message is the request or the answer of an exchange between two hosts.
type Message struct {
	// From is the sender. In a request the transport sets it from the authenticated
	// identity of the peer; in an answer it is set only if the request has Introduce
	// set.
	From host.ID
	// Process is a hash of the incarnation of the sender's process.
	Process uint32
	// Probe is set if the exchange counts as a sign of life. Exchanges that only carry
	// records don't set it: they are sent because of a contact and would otherwise keep
	// it alive.
	Probe bool
	// Last is set in the final exchange with a host that the sender stops probing.
	Last bool
	// Summary is a hash of the record versions of all members that are alive.
	Summary uint32
	Records []Record
	// Introduce asks for the answering host's own record. It is set when the request is
	// sent to an address whose host is not known.
	Introduce bool
	// Sync asks for the records whose versions differ from Digest.
	Sync   bool
	Digest []Version
	// Want holds the keys of processes whose records or host descriptions the sender
	// lacks.
	Want []Key
	// WantSender, in an answer, asks the requesting host for its own record.
	WantSender bool
}

// Version identifies one version of a process's record.
type Version struct {
	Key  Key
	Hash uint32
}

// Target is the destination of an exchange. ID is empty when only the address is known.
type Target struct {
	ID      host.ID
	Address netip.AddrPort
}

// Exchange is a request for the transport to send. Its outcome is passed to
// HandleAnswer or HandleFailure.
type Exchange struct {
	To      Target
	Message Message
}

// processHash shortens an incarnation to 32 bits for use in messages.
func processHash(incarnation host.Incarnation) uint32 {
	return uint32(mix(uint64(incarnation)))
}

// PlatformHost is an entry of the platform's host list, which may be out of date.
type PlatformHost struct {
	ID      host.ID
	Address netip.AddrPort
	Leaving bool
}
