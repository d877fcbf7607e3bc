package membership

import (
	"slices"
	"time"
)

// suspectGracePeriod is how long a member must have been reachable before it can become
// suspect for lack of observers.
const suspectGracePeriod = 3 * time.Second

// update publishes contacts and recomputes the probe targets when they are due, and
// recomputes reachability and the view if they are stale, at most once per
// updateInterval.
func (n *Node) update(now time.Time) {
	n.publishContacts(now)
	if !n.retargetDue.IsZero() && !now.Before(n.retargetDue) {
		n.retargetDue = time.Time{}
		n.setProbeTargets(now, n.probeTargets())
	}
	if !n.viewStale || now.Before(n.nextUpdate) {
		return
	}
	n.nextUpdate = now.Add(updateInterval)
	n.viewStale = false
	n.computeReachability(now)
	n.updateSummary()
	n.buildView(now)
}

// computeReachability finds the members to which a chain of contacts leads from this
// host, by breadth-first search, and counts the observers of each member.
func (n *Node) computeReachability(now time.Time) {
	reachable := make(map[*entry]bool, len(n.sortedEntries))
	for _, e := range n.sortedEntries {
		e.observers = 0
	}
	reachable[n.self] = true
	queue := make([]*entry, 0, len(n.sortedEntries))
	for _, e := range n.sortedEntries {
		if n.inContact(e) {
			e.observers, reachable[e] = 1, true
			queue = append(queue, e)
		}
	}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		for _, key := range e.record.Contacts {
			contact := n.byKey[key]
			if contact == nil || contact.record.Phase == Left {
				continue
			}
			contact.observers++
			if !reachable[contact] {
				reachable[contact] = true
				queue = append(queue, contact)
			}
		}
	}
	for _, e := range n.sortedEntries {
		n.setReachable(now, e, reachable[e])
	}
}

// setReachable updates whether a member is reachable.
func (n *Node) setReachable(now time.Time, e *entry, reachable bool) {
	if e.reachable == reachable {
		return
	}
	e.reachable = reachable
	n.scheduleRetarget(now)
	if reachable {
		e.reachableSince = now
		return
	}
	e.unreachableSince = now
}

// scheduleRetarget schedules the recomputation of the probe targets after
// retargetDelay, or immediately if there are no probe targets.
func (n *Node) scheduleRetarget(now time.Time) {
	if !n.hasProbeTarget() {
		n.retargetDue = now
	} else if n.retargetDue.IsZero() {
		n.retargetDue = now.Add(retargetDelay)
	}
}

// hasProbeTarget reports whether this host has any current probe target.
func (n *Node) hasProbeTarget() bool {
	for _, p := range n.probes {
		if p.endsAt.IsZero() {
			return true
		}
	}
	return false
}

// updateSummary recomputes the hash of the record versions of all members that are
// alive.
func (n *Node) updateSummary() {
	n.summary = 0
	for _, e := range n.sortedEntries {
		if e.alive() {
			n.summary ^= e.record.versionHash()
		}
	}
}

// buildView replaces the view if it has changed.
func (n *Node) buildView(now time.Time) {
	var members []Member
	alive := 0
	for _, e := range n.sortedEntries {
		if e.alive() {
			alive++
		}
	}
	for _, e := range n.sortedEntries {
		state := n.memberState(now, e, alive)
		if state != 0 && e.described {
			members = append(members, Member{Host: e.host, State: state})
		}
	}
	if slices.Equal(members, n.view.Members) {
		return
	}
	n.view = View{Members: members}
	n.viewChanged = true
}

// TakeChanged reports whether the view has changed since the last call.
func (n *Node) TakeChanged() bool {
	changed := n.viewChanged
	n.viewChanged = false
	return changed
}

// memberState returns the state of a member, or zero if it is not part of the view. The
// alive argument is the number of members that are alive.
func (n *Node) memberState(now time.Time, e *entry, alive int) State {
	switch {
	case e.record.Phase == Left:
		return 0
	case !e.reachable && e.unreachableSince.IsZero():
		return 0
	case !e.reachable:
		return Dead
	case e.record.Phase == Departing || n.listedAsLeaving(e):
		return Leaving
	case e != n.self && n.isSuspect(now, e, alive):
		return Suspect
	default:
		return Live
	}
}

// isSuspect reports whether the member is observed by fewer than half of the hosts that
// are expected to be in contact with it.
func (n *Node) isSuspect(now time.Time, e *entry, alive int) bool {
	expected := min(2*maxProbeTargets, alive-1)
	return now.Sub(e.reachableSince) >= suspectGracePeriod && 2*e.observers < expected
}
