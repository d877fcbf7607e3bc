package flow

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// ownerGraceFactor is how many idle times an owner keeps a silent flow; other
// hosts keep it for one and tell the owner of it at least every half, so that
// an owner's record outlives those of all other hosts.
const ownerGraceFactor = 2

// Decide returns the decision for a packet. It is safe for concurrent use and
// does not allocate.
func (e *Engine) Decide(now time.Time, p *Packet) Decision {
	v := e.view.Load()
	if v == nil {
		return drop(NoConfiguration)
	}
	entry := v.find(&p.Key)
	if entry == nil {
		if _, ok := v.quarantined[address{p.Key.Destination, p.Key.Protocol}]; ok {
			return drop(Quarantined)
		}
		return drop(UnknownDestination)
	}
	if p.Relay.Kind != NotRelayed && p.Relay.Service != entry.id {
		return drop(WrongService)
	}
	d := decider{
		engine: e, entry: entry, now: toSeconds(now),
		relay: p.Relay, first: p.First, last: p.Last, udp: p.Key.Protocol == service.UDP,
	}
	d.id = v.key.sum(&p.Key, entry.id)
	d.index = int(d.id & slotMask)
	d.shard = e.records.shard(d.id)
	d.shard.mu.Lock()
	// The table is read under the lock: a change of mode that precedes the
	// collection of this shard's records is seen by every later insertion.
	d.table = entry.table.Load()
	d.usable = d.table.ready && !e.paused(now)
	decision := d.decide()
	d.shard.mu.Unlock()
	decision.Service = entry.id
	return decision
}

// decider holds what the decision for one packet needs.
type decider struct {
	engine *Engine
	entry  *entry
	table  *slotTable
	shard  *shard
	// relay, first, last and udp are the packet's.
	relay            Relay
	first, last, udp bool
	id               ID
	index            int
	now              seconds
	slot             slot
	record           record
	found            bool
	// usable is set while this host's state is known to be current.
	usable bool
	// confirmed is set when this packet confirmed the record.
	confirmed bool
}

func (d *decider) decide() Decision {
	d.slot = d.table.slot(d.index)
	if d.relay.Kind == RelayRecord {
		return d.recordAsBackup()
	}
	if !d.usable {
		return d.passToAny()
	}
	if d.slot.mode == plain && d.engine.isLeaving() {
		if decision := d.passToAny(); decision.Verdict == PassOn {
			return decision
		}
	}
	d.record, d.found, d.confirmed = d.shard.touch(d.id, d.now, d.last, d.first)
	if d.found && !d.keeps() {
		d.shard.remove(d.id)
		d.found = false
	}
	switch {
	case d.slot.mode == plain:
		return d.decidePlain()
	case d.slot.owner == selfRef:
		return d.decideAsOwner()
	}
	return d.decideAsMember()
}

// keeps reports whether the record still binds the flow: it is this service's
// and its upstream is not gone.
func (d *decider) keeps() bool {
	if d.record.service != d.entry.id {
		return false
	}
	l := d.entry.loads.Load()
	return l == nil || !l.gone(d.record.upstream)
}

func (d *decider) decidePlain() Decision {
	if d.found {
		return d.forward(d.record.upstream)
	}
	ref := d.table.defaults[d.index]
	if ref == noUpstream {
		return drop(NoUpstream)
	}
	d.insert(ref)
	return d.forward(ref)
}

// decideAsMember serves recorded flows and leaves all others to the owner, and
// now and then a recorded one, so that the owner knows that the flow lives.
func (d *decider) decideAsMember() Decision {
	if d.found && !d.first && d.now-d.record.ownerSeen <= d.table.idle/2 {
		return d.forward(d.record.upstream)
	}
	if d.found {
		d.noteOwnerSeen()
	}
	return d.passOn(d.slot.owner, RelayDecide, netip.AddrPort{})
}

func (d *decider) decideAsOwner() Decision {
	if d.found {
		d.noteOwnerSeen()
		return d.deliver(d.record.upstream, d.first || d.confirmed && d.deviates(d.record.upstream))
	}
	switch d.slot.phase {
	case collectingPlain, releasing:
		return d.assign(d.table.defaults[d.index])
	case collectingTracked:
		if d.engine.hostAlive(d.slot.previous) {
			return d.passOn(d.slot.previous, RelayDecide, netip.AddrPort{})
		}
		return drop(Undecided)
	}
	if d.first || d.udp {
		ref := d.choose()
		if l := d.entry.loads.Load(); l != nil && d.table.steered {
			l.assigned(ref)
		}
		return d.assign(ref)
	}
	return d.assignOld()
}

// assignOld serves an unrecorded flow that was open before the slot was
// tracked: all later flows have records.
func (d *decider) assignOld() Decision {
	ref := d.table.defaults[d.index]
	if l := d.entry.loads.Load(); ref == noUpstream || l != nil && l.gone(ref) {
		ref = d.table.targets[d.index]
	}
	return d.assign(ref)
}

// assign records the flow's upstream and delivers the packet.
func (d *decider) assign(ref upstreamRef) Decision {
	if ref == noUpstream {
		return drop(NoUpstream)
	}
	d.insert(ref)
	return d.deliver(ref, d.first || d.deviates(ref))
}

// deviates reports whether another host could not guess the flow's upstream
// from a later packet.
func (d *decider) deviates(ref upstreamRef) bool {
	return ref != d.table.defaults[d.index] || d.udp
}

// deliver sends the packet to the upstream, by way of the backup if the backup
// has to know.
func (d *decider) deliver(ref upstreamRef, record bool) Decision {
	if record && d.engine.hostAlive(d.slot.backup) {
		return d.passOn(d.slot.backup, RelayRecord, d.table.address(ref))
	}
	return d.forward(ref)
}

// recordAsBackup records the owner's assignment before the upstream sees the packet.
func (d *decider) recordAsBackup() Decision {
	ref := d.table.find(d.relay.Upstream)
	if ref == noUpstream {
		return drop(UnknownUpstream)
	}
	d.record, d.found, _ = d.shard.touch(d.id, d.now, d.last, d.first)
	switch {
	case !d.found && (d.first || d.udp):
		d.shard.add(d.id, d.newBackup(ref))
	case !d.found || d.record.upstream != ref:
		d.shard.confirm(d.id, d.newBackup(ref))
	default:
		d.noteOwnerSeen()
	}
	return d.forward(ref)
}

// passToAny leaves the packet to a member that stays: this host does not know
// the state yet, or its records are about to be lost.
func (d *decider) passToAny() Decision {
	hosts := *d.engine.hosts.Load()
	n := len(hosts)
	for i := range n {
		ref := hostRef((int(uint64(d.id)>>32) + int(d.relay.Hops) + i) % n)
		if ref != selfRef && hosts[ref].eligible() {
			return d.passOn(ref, RelayDecide, netip.AddrPort{})
		}
	}
	return drop(Undecided)
}

func (d *decider) passOn(to hostRef, kind RelayKind, upstream netip.AddrPort) Decision {
	if d.relay.Hops >= MaxHops {
		return drop(TooManyHops)
	}
	hosts := *d.engine.hosts.Load()
	if int(to) >= len(hosts) || to == selfRef || !hosts[to].address.IsValid() {
		return drop(Undecided)
	}
	relay := Relay{Kind: kind, Hops: d.relay.Hops + 1, Service: d.entry.id, Upstream: upstream}
	return Decision{Verdict: PassOn, Target: hosts[to].address, Relay: relay}
}

func (d *decider) forward(ref upstreamRef) Decision {
	return Decision{Verdict: Forward, Target: d.table.address(ref)}
}

func (d *decider) newRecord(ref upstreamRef) record {
	return record{
		service:   d.entry.id,
		upstream:  ref,
		closing:   d.last,
		tcp:       !d.udp,
		first:     d.first,
		seen:      d.now,
		ownerSeen: d.now,
	}
}

// newBackup returns a record that this host keeps for the owner.
func (d *decider) newBackup(ref upstreamRef) record {
	r := d.newRecord(ref)
	r.backup = true
	return r
}

func (d *decider) insert(ref upstreamRef) {
	d.shard.add(d.id, d.newRecord(ref))
}

func (d *decider) noteOwnerSeen() {
	if d.record.ownerSeen == d.now {
		return
	}
	d.shard.noteOwner(d.id, d.now)
}
