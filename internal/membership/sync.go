package membership

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// trackSummary records the time since which a host's summary has differed from the local
// one.
// After syncDelay, sendSync asks the host for the records that differ.
func (n *Node) trackSummary(now time.Time, from host.ID, summary uint32) {
	p := n.probes[from]
	if p == nil {
		return
	}
	switch {
	case summary == n.summary:
		p.summaryDiffersSince = time.Time{}
	case p.summaryDiffersSince.IsZero():
		p.summaryDiffersSince = now
	}
}

// requestSync makes a sync with a host that answered a join attempt due at once if its
// summary differs.
func (n *Node) requestSync(now time.Time, from host.ID, summary uint32) {
	p := n.probes[from]
	if p != nil && summary != n.summary {
		p.summaryDiffersSince = now.Add(-syncDelay)
		n.nextSync = now
	}
}

// sendSync appends at most one sync exchange, with a host whose summary has differed
// for syncDelay.
func (n *Node) sendSync(now time.Time, exchanges []Exchange) []Exchange {
	if now.Before(n.nextSync) {
		return exchanges
	}
	for _, id := range sortedIDs(n.probes) {
		p := n.probes[id]
		if p.summaryDiffersSince.IsZero() || now.Sub(p.summaryDiffersSince) < syncDelay {
			continue
		}
		p.summaryDiffersSince = time.Time{}
		n.nextSync = now.Add(n.currentSyncInterval(now))
		e := n.entries[id]
		message := n.newMessage()
		message.Sync, message.Digest = true, n.digest()
		return append(exchanges, Exchange{To: Target{ID: id, Address: e.host.PeerAddress}, Message: message})
	}
	return exchanges
}

// currentSyncInterval returns the minimum time between two syncs. It is shorter just
// after startup, when the process learns of many hosts at once and misses some records.
func (n *Node) currentSyncInterval(now time.Time) time.Duration {
	if now.Sub(n.startedAt) < startupPeriod {
		return startupSyncInterval
	}
	return syncInterval
}

// digest lists the record versions of all members that are alive.
func (n *Node) digest() []Version {
	var digest []Version
	for _, e := range n.sortedEntries {
		if e.alive() {
			digest = append(digest, Version{Key: e.key, Hash: e.record.versionHash()})
		}
	}
	return digest
}

// answerDigest adds to the answer the records of members that are alive and whose
// versions are missing from the digest or differ from it. It asks for the records in the
// digest that are missing or differ locally.
func (n *Node) answerDigest(digest []Version, answer *Message) {
	digestHashes := make(map[Key]uint32, len(digest))
	for _, version := range digest {
		digestHashes[version.Key] = version.Hash
		e := n.byKey[version.Key]
		if e == nil || e.record.versionHash() != version.Hash {
			answer.Want = append(answer.Want, version.Key)
		}
	}
	for _, e := range n.sortedEntries {
		hash, known := digestHashes[e.key]
		if e.alive() && (!known || hash != e.record.versionHash()) && !containsRecord(answer.Records, e.record.ID) {
			answer.Records = append(answer.Records, e.export(true))
		}
	}
}

func containsRecord(records []Record, id host.ID) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.ID == id })
}
