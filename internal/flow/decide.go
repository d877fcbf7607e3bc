package flow

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// ownerIdleFactor is how many idle timeouts a slot's owner keeps the record of an
// idle flow. Other hosts keep records for one timeout and relay a packet of each
// recorded flow to the owner at least every half timeout, so the owner's record
// outlives all others.
const ownerIdleFactor = 2

// Decide returns the decision for a packet. It is safe for concurrent use and
// does not allocate for known flows.
func (e *Engine) Decide(now time.Time, p *Packet) Decision {
	v := e.serviceView.Load()
	if v == nil {
		return drop(NoConfiguration)
	}
	svc := v.find(&p.Key)
	if svc == nil {
		if _, ok := v.quarantined[serviceAddress{p.Key.Destination, p.Key.Protocol}]; ok {
			return drop(Quarantined)
		}
		return drop(UnknownDestination)
	}
	if p.Relay.Kind != NotRelayed && p.Relay.Service != svc.id {
		return drop(WrongService)
	}
	d := decider{
		engine: e, service: svc, now: toSeconds(now),
		relay: p.Relay, first: p.First, last: p.Last, udp: p.Key.Protocol == service.UDP,
	}
	d.id = v.key.sum(&p.Key, svc.id)
	d.slotIndex = int(d.id & slotMask)
	d.shard = e.records.shard(d.id)
	d.shard.mu.Lock()
	// The table is read under the shard's lock: if a slot changes mode before
	// this shard's records are collected, every later insertion sees the change.
	d.table = svc.table.Load()
	d.stateCurrent = d.table.ready && !e.paused(now)
	decision := d.decide()
	d.shard.mu.Unlock()
	decision.Service = svc.id
	return decision
}

// decider holds the inputs and intermediate results of one decision.
type decider struct {
	engine  *Engine
	service *serviceState
	table   *slotTable
	shard   *shard
	// relay, first, last and udp are properties of the packet.
	relay            Relay
	first, last, udp bool
	id               ID
	slotIndex        int
	now              seconds
	slot             slot
	record           record
	found            bool
	// stateCurrent is set if this host has the current state of the service's slots.
	stateCurrent bool
	// newlyConfirmed is set if this packet confirmed the record.
	newlyConfirmed bool
}

func (d *decider) decide() Decision {
	d.slot = d.table.slot(d.slotIndex)
	if d.relay.Kind == RelayRecord {
		return d.recordAsBackup()
	}
	if !d.stateCurrent {
		return d.relayToAnyMember()
	}
	if d.slot.mode == untracked && d.engine.isLeaving() {
		if decision := d.relayToAnyMember(); decision.Verdict == RelayPacket {
			return decision
		}
	}
	d.record, d.found, d.newlyConfirmed = d.shard.touch(d.id, d.now, d.last, d.first)
	if d.found && !d.recordValid() {
		d.shard.remove(d.id)
		d.found = false
	}
	switch {
	case d.slot.mode == untracked:
		return d.decideUntracked()
	case d.slot.owner == selfRef:
		return d.decideAsOwner()
	}
	return d.decideAsNonOwner()
}

// recordValid reports whether the record still determines the flow's upstream: it
// belongs to this service and its upstream is not gone.
func (d *decider) recordValid() bool {
	if d.record.service != d.service.id {
		return false
	}
	l := d.service.loads.Load()
	return l == nil || !l.gone(d.record.upstream)
}

func (d *decider) decideUntracked() Decision {
	if d.found {
		return d.forward(d.record.upstream)
	}
	ref := d.table.defaults[d.slotIndex]
	if ref == noUpstream {
		return drop(NoUpstream)
	}
	d.addRecord(ref)
	return d.forward(ref)
}

// decideAsNonOwner forwards packets of recorded flows and relays all others to the
// owner. It also relays a packet of a recorded flow at least every half idle
// timeout, so that the owner keeps its record.
func (d *decider) decideAsNonOwner() Decision {
	if d.found && !d.first && d.now.since(d.record.ownerSeen) <= d.table.idleTimeout/2 {
		return d.forward(d.record.upstream)
	}
	if d.found {
		d.updateOwnerSeen()
	}
	return d.relayTo(d.slot.owner, RelayDecide, netip.AddrPort{})
}

// decideAsOwner forwards packets of recorded flows and assigns upstreams to other
// flows. While this host collects the records of a slot that had another owner, it
// relays packets of other flows to that owner. While it collects those of an
// untracked slot or releases the slot, it assigns the default only.
func (d *decider) decideAsOwner() Decision {
	if d.found {
		d.updateOwnerSeen()
		return d.deliver(d.record.upstream, d.first || d.newlyConfirmed && d.needsRecord(d.record.upstream))
	}
	switch d.slot.phase {
	case collectingUntracked, releasing:
		return d.assign(d.table.defaults[d.slotIndex])
	case collectingTracked:
		if d.engine.hostAlive(d.slot.previous) {
			return d.relayTo(d.slot.previous, RelayDecide, netip.AddrPort{})
		}
		return drop(Undecided)
	}
	if d.first || d.udp {
		ref := d.chooseUpstream()
		if l := d.service.loads.Load(); l != nil && d.table.perFlowBalancing {
			l.countNewFlow(ref)
		}
		return d.assign(ref)
	}
	return d.assignExisting()
}

// assignExisting assigns an upstream to an unrecorded flow that was open before
// the slot was tracked: all flows opened later have records.
func (d *decider) assignExisting() Decision {
	ref := d.table.defaults[d.slotIndex]
	if l := d.service.loads.Load(); ref == noUpstream || l != nil && l.gone(ref) {
		ref = d.table.targets[d.slotIndex]
	}
	return d.assign(ref)
}

// assign records the flow's upstream and sends the packet there.
func (d *decider) assign(ref upstreamRef) Decision {
	if ref == noUpstream {
		return drop(NoUpstream)
	}
	d.addRecord(ref)
	return d.deliver(ref, d.first || d.needsRecord(ref))
}

// needsRecord reports whether other hosts need a record of the flow, because they
// could not derive its upstream from a later packet.
func (d *decider) needsRecord(ref upstreamRef) bool {
	return ref != d.table.defaults[d.slotIndex] || d.udp
}

// deliver sends the packet to the upstream. With viaBackup it relays the packet
// through the slot's backup, which records the flow first.
func (d *decider) deliver(ref upstreamRef, viaBackup bool) Decision {
	if viaBackup && d.engine.hostAlive(d.slot.backup) {
		return d.relayTo(d.slot.backup, RelayRecord, d.table.address(ref))
	}
	return d.forward(ref)
}

// recordAsBackup records the owner's assignment, then forwards the packet: the
// record exists before the upstream sees the packet.
func (d *decider) recordAsBackup() Decision {
	ref := d.table.find(d.relay.Upstream)
	if ref == noUpstream {
		return drop(UnknownUpstream)
	}
	d.record, d.found, _ = d.shard.touch(d.id, d.now, d.last, d.first)
	switch {
	case !d.found && (d.first || d.udp):
		d.shard.addUnconfirmed(d.id, d.newBackupRecord(ref))
	case !d.found || d.record.upstream != ref:
		d.shard.addConfirmed(d.id, d.newBackupRecord(ref))
	default:
		d.updateOwnerSeen()
	}
	return d.forward(ref)
}

// relayToAnyMember relays the packet to a member that is not leaving. It is used
// while this host lacks the state of the slots or is about to lose its records.
func (d *decider) relayToAnyMember() Decision {
	hosts := *d.engine.hosts.Load()
	n := len(hosts)
	for i := range n {
		ref := hostRef((int(uint64(d.id)>>32) + int(d.relay.Hops) + i) % n)
		if ref != selfRef && hosts[ref].eligible() {
			return d.relayTo(ref, RelayDecide, netip.AddrPort{})
		}
	}
	return drop(Undecided)
}

func (d *decider) relayTo(to hostRef, kind RelayKind, upstream netip.AddrPort) Decision {
	if d.relay.Hops >= MaxHops {
		return drop(TooManyHops)
	}
	hosts := *d.engine.hosts.Load()
	if int(to) >= len(hosts) || to == selfRef || !hosts[to].address.IsValid() {
		return drop(Undecided)
	}
	relay := Relay{Kind: kind, Hops: d.relay.Hops + 1, Service: d.service.id, Upstream: upstream}
	return Decision{Verdict: RelayPacket, Target: hosts[to].address, Relay: relay}
}

func (d *decider) forward(ref upstreamRef) Decision {
	return Decision{Verdict: Forward, Target: d.table.address(ref)}
}

func (d *decider) newRecord(ref upstreamRef) record {
	return record{
		service:   d.service.id,
		upstream:  ref,
		closing:   d.last,
		tcp:       !d.udp,
		first:     d.first,
		lastSeen:  d.now,
		ownerSeen: d.now,
	}
}

// newBackupRecord returns a record that this host keeps as the slot's backup.
func (d *decider) newBackupRecord(ref upstreamRef) record {
	r := d.newRecord(ref)
	r.backup = true
	return r
}

func (d *decider) addRecord(ref upstreamRef) {
	d.shard.addUnconfirmed(d.id, d.newRecord(ref))
}

func (d *decider) updateOwnerSeen() {
	if d.record.ownerSeen == d.now {
		return
	}
	d.shard.setOwnerSeen(d.id, d.now)
}
