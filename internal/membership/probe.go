package membership

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// probeState schedules the exchanges with one probed host.
type probeState struct {
	// lastDue is when the last exchange became due.
	lastDue time.Time
	// answered is set if the last exchange was answered.
	answered bool
	// outstanding is the number of exchanges whose outcome is not known yet.
	outstanding int
	// summaryDiffersSince is when the host's summary began to differ from the local
	// one; zero if the two are equal.
	summaryDiffersSince time.Time
	// endsAt is when a temporary probe ends; zero for a current probe target.
	endsAt time.Time
}

// nextDue returns when the next exchange is due.
func (p *probeState) nextDue() time.Time {
	interval := retryInterval
	if p.answered {
		interval = probeInterval
	}
	return p.lastDue.Add(interval)
}

// sendProbes appends the probes that are due.
func (n *Node) sendProbes(now time.Time, exchanges []Exchange) []Exchange {
	for _, id := range sortedIDs(n.probes) {
		p := n.probes[id]
		if !p.endsAt.IsZero() && !now.Before(p.endsAt) {
			exchanges = append(exchanges, n.finalExchange(now, n.entries[id]))
			continue
		}
		if now.Before(p.nextDue()) {
			continue
		}
		p.lastDue = now
		if p.outstanding >= maxOutstanding {
			continue
		}
		p.outstanding++
		p.answered = false
		exchanges = append(exchanges, n.newExchange(now, n.entries[id], true))
	}
	return exchanges
}

// newExchange returns an exchange with a member that carries the records queued for it.
func (n *Node) newExchange(now time.Time, e *entry, probe bool) Exchange {
	message := n.newMessage()
	message.Probe = probe
	message.Records = n.nextRecords(now, e.record.ID)
	return Exchange{To: Target{ID: e.record.ID, Address: e.host.PeerAddress}, Message: message}
}

// finalExchange stops probing a host and returns the exchange that informs it.
func (n *Node) finalExchange(now time.Time, e *entry) Exchange {
	last := n.newExchange(now, e, false)
	last.Message.Last = true
	delete(n.probes, e.record.ID)
	n.releaseContact(now, e)
	return last
}

// newMessage returns a message without records.
func (n *Node) newMessage() Message {
	return Message{
		From:    n.self.record.ID,
		Process: processHash(n.self.record.Incarnation),
		Summary: n.summary,
		Want:    n.wantedKeys(),
	}
}

// probeTemporarily probes a host for temporaryProbeTime from now on, unless it is a
// probe target.
func (n *Node) probeTemporarily(now time.Time, e *entry) {
	if e == n.self || !e.described {
		return
	}
	p := n.probes[e.record.ID]
	if p == nil {
		n.probes[e.record.ID] = &probeState{answered: true, lastDue: now, endsAt: now.Add(temporaryProbeTime)}
		return
	}
	if !p.endsAt.IsZero() {
		p.endsAt = now.Add(temporaryProbeTime)
	}
}

// setProbeTargets makes the given hosts the probe targets. Former targets are still
// probed for temporaryProbeTime.
func (n *Node) setProbeTargets(now time.Time, targets []*entry) {
	for id, p := range n.probes {
		current := slices.ContainsFunc(targets, func(e *entry) bool { return e.record.ID == id })
		switch {
		case current:
			p.endsAt = time.Time{}
		case p.endsAt.IsZero():
			p.endsAt = now.Add(temporaryProbeTime)
		}
	}
	for _, e := range targets {
		if n.probes[e.record.ID] == nil {
			n.probes[e.record.ID] = &probeState{}
			n.enqueueRecord(e.record.ID, n.self.record.ID, true)
		}
	}
}

// sortedIDs returns the sorted keys of a map. Iterating in this order keeps the node
// deterministic.
func sortedIDs[V any](m map[host.ID]V) []host.ID {
	ids := make([]host.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
