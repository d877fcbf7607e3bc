package dispatch

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// maxSuccessors is how many hosts, in rendezvous order, may be a ledger's successor.
const maxSuccessors = 3

// holders lists the hosts to ask for a ticket's ledger: a known successor, the
// issuer if it may be alive, and the candidates for successor. A ticket that
// cannot be verified here is worth asking its issuer only.
func (d *Dispatcher) holders(t ticket.Ticket, first host.ID) []host.ID {
	var ids []host.ID
	if first != "" {
		ids = append(ids, first)
	}
	if d.mayLive(t.Issuer, t.Incarnation) {
		ids = append(ids, t.Issuer)
	}
	if !d.verifiable(t) {
		return ids
	}
	for _, id := range d.successors(t.Incarnation) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// verifiable says whether the ticket's key is held here.
func (d *Dispatcher) verifiable(t ticket.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Knows(t.KeyID)
}

// mayLive says whether the view does not rule out that the incarnation is alive.
func (d *Dispatcher) mayLive(id host.ID, incarnation host.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, member := range d.members.Members {
		if member.Host.ID == id {
			return member.Host.Incarnation == incarnation && member.State != membership.Dead
		}
	}
	return false
}

// successors returns the candidates for a ledger's successor other than this
// host, best first.
func (d *Dispatcher) successors(incarnation host.Incarnation) []host.ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []host.ID
	for _, member := range d.members.Members {
		usable := member.State == membership.Live || member.State == membership.Suspect
		if usable && member.Host.ID != d.options.Self.ID {
			ids = append(ids, member.Host.ID)
		}
	}
	slices.SortFunc(ids, func(a, b host.ID) int {
		return cmp.Or(cmp.Compare(rank(b, incarnation), rank(a, incarnation)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), maxSuccessors)]
}

// rank is the rendezvous weight of a host for a ledger.
func rank(id host.ID, incarnation host.Incarnation) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s", uint64(incarnation), id)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
