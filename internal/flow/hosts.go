package flow

import (
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/service"
)

// hostRef is an index into an engine's append-only list of hosts.
type hostRef uint16

const (
	// selfRef is the engine's own host.
	selfRef hostRef = 0
	// noHost means no host.
	noHost hostRef = 1<<16 - 1
)

// hostEntry is what an engine knows about a host.
type hostEntry struct {
	id         host.ID
	dataCentre string
	address    netip.AddrPort
	state      membership.State
	// leaving is set on selfRef once this host hands over its slots. Other hosts are
	// known to be leaving by their state.
	leaving bool
	// joiningUntil is the time until which a host that asked for state counts as
	// alive although the membership view does not have it yet.
	joiningUntil seconds
	// hash is the hash of the ID, which rendezvous hashing uses as a part of its key.
	hash uint64
}

// alive reports whether the host has to take part in rounds.
func (h *hostEntry) alive() bool {
	return h.state == membership.Live || h.state == membership.Suspect || h.state == membership.Leaving
}

// eligible reports whether the host may be made an owner or a backup.
func (h *hostEntry) eligible() bool {
	return h.alive() && h.state != membership.Leaving && !h.leaving
}

// hostList is immutable once published.
type hostList []hostEntry

func (l hostList) find(id host.ID) hostRef {
	for i := range l {
		if l[i].id == id {
			return hostRef(i)
		}
	}
	return noHost
}

// merge returns the list updated from the view. Hosts that the view lacks count
// as dead, except those that asked for state a short time ago.
func (l hostList) merge(view membership.View, now seconds) hostList {
	merged := slices.Clone(l)
	for i := range merged {
		if hostRef(i) != selfRef && merged[i].joiningUntil <= now {
			merged[i].state = membership.Dead
		}
	}
	for _, m := range view.Members {
		ref := merged.find(m.Host.ID)
		if ref == noHost {
			if len(merged) >= int(noHost) {
				continue
			}
			merged = append(merged, newHostEntry(m.Host.ID, m.Host.DataCentre))
			ref = hostRef(len(merged) - 1)
		}
		h := &merged[ref]
		if ref != selfRef && m.State == membership.Live && !l.isAlive(ref) {
			h.leaving = false
		}
		h.address, h.dataCentre = m.Host.PacketAddress, m.Host.DataCentre
		if ref != selfRef || m.State != membership.Dead {
			h.state = m.State
		}
	}
	return merged
}

func newHostEntry(id host.ID, dataCentre string) hostEntry {
	return hostEntry{id: id, dataCentre: dataCentre, state: membership.Live, hash: siphash.Hash(0, 0, []byte(id))}
}

func (l hostList) isAlive(ref hostRef) bool {
	return int(ref) < len(l) && l[ref].alive()
}

// score returns the host's rendezvous hash for the slot.
func (h *hostEntry) score(id service.ID, slot int) uint64 {
	return siphash.Hash(h.hash, uint64(id)<<32|uint64(slot), nil)
}

// rendezvous returns the eligible host with the highest score for the slot among
// those for which accept returns true.
func (l hostList) rendezvous(id service.ID, slot int, accept func(hostRef) bool) hostRef {
	best, highest := noHost, uint64(0)
	for i := range l {
		if !l[i].eligible() || !accept(hostRef(i)) {
			continue
		}
		if score := l[i].score(id, slot); best == noHost || score > highest {
			best, highest = hostRef(i), score
		}
	}
	return best
}

// ownerOf returns the host that should own the slot.
func (l hostList) ownerOf(id service.ID, slot int) hostRef {
	return l.rendezvous(id, slot, func(hostRef) bool { return true })
}

// backupOf returns the host that should be the owner's backup, in another data
// centre if possible.
func (l hostList) backupOf(id service.ID, slot int, owner hostRef) hostRef {
	elsewhere := l.rendezvous(id, slot, func(r hostRef) bool {
		return r != owner && l[r].dataCentre != l[owner].dataCentre
	})
	if elsewhere != noHost {
		return elsewhere
	}
	return l.rendezvous(id, slot, func(r hostRef) bool { return r != owner })
}
