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

// maxSuccessors is the number of hosts, in the order of rendezvous hashing, that may
// become a ledger's successor.
const maxSuccessors = 3

// ledgerHolders returns the hosts that may hold a ticket's ledger, in the order in which
// to ask them: the known successor if there is one, the issuer if it may be alive, and
// the candidates for successor. The candidates are left out for a ticket whose key is
// not known here: it may be forged, and only its issuer is sure to hold the key.
func (d *Dispatcher) ledgerHolders(t ticket.Ticket, knownSuccessor host.ID) []host.ID {
	var ids []host.ID
	if knownSuccessor != "" {
		ids = append(ids, knownSuccessor)
	}
	if d.mayBeAlive(t.Issuer, t.Incarnation) {
		ids = append(ids, t.Issuer)
	}
	if !d.hasKeyFor(t) {
		return ids
	}
	for _, id := range d.successorCandidates(t.Incarnation) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// hasKeyFor reports whether this host holds the key that the ticket names.
func (d *Dispatcher) hasKeyFor(t ticket.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ticketKeys.Has(t.KeyID)
}

// mayBeAlive reports whether the membership view lists this incarnation of the host in a
// state other than dead.
func (d *Dispatcher) mayBeAlive(id host.ID, incarnation host.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, member := range d.members.Members {
		if member.Host.ID == id {
			return member.Host.Incarnation == incarnation && member.State != membership.Dead
		}
	}
	return false
}

// successorCandidates returns the hosts other than this one that may become a ledger's
// successor, in descending order of their rendezvous weights.
func (d *Dispatcher) successorCandidates(incarnation host.Incarnation) []host.ID {
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
		return cmp.Or(cmp.Compare(rendezvousWeight(b, incarnation), rendezvousWeight(a, incarnation)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), maxSuccessors)]
}

// rendezvousWeight returns the weight of a host in the rendezvous hashing of a ledger's
// incarnation. The final steps spread the FNV hash over all bits.
func rendezvousWeight(id host.ID, incarnation host.Incarnation) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s", uint64(incarnation), id)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
