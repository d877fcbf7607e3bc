package membership

import (
	"cmp"
	"slices"
	"time"
)

// inContact reports whether this host has received a probe or a probe's answer from the
// member within contactTimeout.
func (n *Node) inContact(e *entry) bool {
	return n.contacts[e.record.ID] == e
}

// beginContact starts a contact with a member. If the member was unreachable, the new
// contact is published at once; otherwise others already reach it through another host,
// and the publication can wait.
func (n *Node) beginContact(now time.Time, e *entry) {
	n.contacts[e.record.ID] = e
	e.contactSince = now
	if e.reachable {
		n.scheduleContactsPublish(now.Add(newContactPublishDelay))
		return
	}
	n.viewStale = true
	n.scheduleContactsPublish(now)
}

// endContact ends a contact that has timed out or whose process has left or been
// replaced.
func (n *Node) endContact(e *entry) {
	delete(n.contacts, e.record.ID)
	n.viewStale = true
	n.scheduleContactsPublish(n.lastStep.Add(lostContactPublishDelay))
}

// releaseContact ends the contact with a member that one side has stopped probing,
// although the member may still be alive, provided that at least minObservers hosts are
// in contact with it. Publishing this is not urgent.
func (n *Node) releaseContact(now time.Time, e *entry) {
	if !n.inContact(e) || e.observers < minObservers {
		return
	}
	delete(n.contacts, e.record.ID)
	n.viewStale = true
	n.scheduleContactsPublish(now.Add(newContactPublishDelay))
}

// scheduleContactsPublish makes the contacts due for publication at the given time,
// unless they are already due earlier.
func (n *Node) scheduleContactsPublish(due time.Time) {
	if n.contactsPublishDue.IsZero() || due.Before(n.contactsPublishDue) {
		n.contactsPublishDue = due
	}
}

// publishContacts copies the contacts into this host's own record once they are due for
// publication.
func (n *Node) publishContacts(now time.Time) {
	if n.contactsPublishDue.IsZero() || now.Before(n.contactsPublishDue) {
		return
	}
	n.contactsPublishDue = time.Time{}
	contacts := n.contactKeys()
	if slices.Equal(contacts, n.self.record.Contacts) {
		return
	}
	n.self.record.Contacts = contacts
	n.publishOwnRecord()
}

// contactKeys returns the sorted keys of the contacts, limited to the maxContacts
// oldest ones.
func (n *Node) contactKeys() []Key {
	oldest := make([]*entry, 0, len(n.contacts))
	for _, e := range n.contacts {
		oldest = append(oldest, e)
	}
	if len(oldest) > maxContacts {
		slices.SortFunc(oldest, func(a, b *entry) int {
			return cmp.Or(a.contactSince.Compare(b.contactSince), cmp.Compare(a.key, b.key))
		})
		oldest = oldest[:maxContacts]
	}
	keys := make([]Key, 0, len(oldest))
	for _, e := range oldest {
		keys = append(keys, e.key)
	}
	slices.Sort(keys)
	return keys
}
