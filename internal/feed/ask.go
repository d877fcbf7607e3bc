package feed

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// askInterval is the time between two questions to partners. It bounds how long a host may
	// be behind that no other tells of a change.
	askInterval = 800 * time.Millisecond
	// answerTimeout is the time within which a partner answers. Questions and answers may be
	// lost, which costs no more than a question to another partner.
	answerTimeout = 200 * time.Millisecond
	// quickFailures is the number of partners without an answer, one after the other, up to
	// which the next one is asked at once. It limits the questions while most hosts fail.
	quickFailures = 4
	// subscriptionTime is how long a host tells its news to one that has asked it. It covers
	// the questions to a few partners, so that each host is told of a change by several.
	subscriptionTime = 3 * time.Second
	// newsGap is the minimum time between two messages with news to the same hosts.
	newsGap = 250 * time.Millisecond
	// tellDelay is how long after a change of the view this host's own partners are told of it
	// that have not shown that they know. Usually they show it within milliseconds.
	tellDelay = 50 * time.Millisecond
	// calmTime is how long nothing must have failed before partners are asked less often. It
	// exceeds peerCooldown, so that a partner that stays silent, and is asked again after that,
	// keeps the questions frequent.
	calmTime = 10 * time.Second
	// calmContact is the part of the outage threshold, in percent, up to which the last contact
	// with the store is recent enough for less frequent questions. Otherwise hosts would take
	// their sources for stale and read the store.
	calmContact = 60
)

// neighbour is what this host knows of another one that has sent it messages.
type neighbour struct {
	// told is what the host last told of itself.
	told catalog.Progress
	// askedAt is when the host last asked this one; zero if it never did.
	askedAt time.Time
	// stopTimeout, if set, ends the wait for an answer of the host.
	stopTimeout func() bool
}

// exchange is the state of the messages with other hosts.
type exchange struct {
	// neighbours are the hosts that have sent messages or are asked, by name.
	neighbours map[string]*neighbour
	// newsAt is when news was last told, and newsDue is set while it is about to be told.
	newsAt  time.Time
	newsDue bool
	// telling is set while tellPartners is due.
	telling bool
}

// RunPartners asks partners in turn what they know, and reads those that know more than this
// host, until ctx ends. So a host learns of a change although its own source is silent or
// behind. It always returns nil.
func (f *Feed) RunPartners(ctx context.Context) error {
	for {
		f.askNext()
		if f.options.Clock.Sleep(ctx, f.askPause()) != nil {
			return nil
		}
	}
}

// askPause returns the time until the next partner is asked.
func (f *Feed) askPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calmLocked(f.options.Clock.Now()) {
		return askInterval
	}
	return askInterval / time.Duration(f.partners.asking())
}

// calmLocked reports whether nothing has failed lately, and the last contact with the store is
// recent enough not to grow old until the next question. f.mu must be held.
func (f *Feed) calmLocked(now time.Time) bool {
	return (f.lag.failedAt.IsZero() || now.Sub(f.lag.failedAt) >= calmTime) &&
		now.Sub(f.catalog.LastContact()) <= f.timing.OutageThreshold()*calmContact/100
}

// askNext asks the next partner.
func (f *Feed) askNext() {
	f.mu.Lock()
	messages := f.askNextLocked(f.options.Clock.Now())
	f.mu.Unlock()
	f.send(messages)
}

// askNextLocked returns the question to the next partner, if any. f.mu must be held.
func (f *Feed) askNextLocked(now time.Time) []outgoing {
	if h := f.partners.next(now); h != nil {
		return f.askLocked(now, []catalog.Host{*h})
	}
	return nil
}

// askLocked returns questions to the hosts but those that are to answer one already. A host
// without a complete catalog asks none: its source gives it all there is. f.mu must be held.
func (f *Feed) askLocked(now time.Time, hosts []catalog.Host) []outgoing {
	if !f.catalog.Complete() {
		return nil
	}
	var messages []outgoing
	for _, h := range hosts {
		n := f.neighbourLocked(h.Name)
		if n.stopTimeout != nil {
			continue
		}
		n.stopTimeout = f.background.after(answerTimeout, func(context.Context) { f.answerMissing(h) })
		messages = append(messages, outgoing{h, Message{Kind: Ask, PeerProgress: f.progressLocked(now)}})
	}
	return messages
}

// neighbourLocked returns the state of the named host, which it creates if necessary. f.mu must
// be held.
func (f *Feed) neighbourLocked(name string) *neighbour {
	n := f.exchange.neighbours[name]
	if n == nil {
		n = &neighbour{}
		f.exchange.neighbours[name] = n
	}
	return n
}

// answerMissing records that the partner has not answered in time, and asks others.
func (f *Feed) answerMissing(h catalog.Host) {
	f.mu.Lock()
	f.neighbourLocked(h.Name).stopTimeout = nil
	messages := f.partnerFailedLocked(&h)
	f.mu.Unlock()
	f.options.Metrics.observePartner("failed")
	f.send(messages)
	f.noteSilent(h.Name)
}

// partnerFailedLocked records that the partner is of no use and returns questions to others.
// f.mu must be held.
func (f *Feed) partnerFailedLocked(h *catalog.Host) []outgoing {
	now := f.options.Clock.Now()
	f.partners.recordFailure(now, h.Name) // so that it is not asked again
	messages := f.noteFailureLocked(now)
	if f.partners.failures < quickFailures {
		messages = append(messages, f.askNextLocked(now)...)
	}
	return messages
}

// noteFailureLocked records that a source or partner has failed. After the first failure it
// returns questions to one partner of each slot, because several may have fallen silent
// together. f.mu must be held.
func (f *Feed) noteFailureLocked(now time.Time) []outgoing {
	calm := f.calmLocked(now)
	f.lag.failedAt = now
	if !calm {
		return nil
	}
	return f.askLocked(now, f.partners.nextOfEach(now))
}

// Receive takes a message of the named host, which must be authentic. It returns the answer to
// send, if there is one.
func (f *Feed) Receive(from string, m Message) (answer Message, ok bool) {
	f.mu.Lock()
	now := f.options.Clock.Now()
	var messages []outgoing
	// A host that has just registered may not be known yet; it gets its answer all the same.
	if h := f.selector.peer(from); h != nil {
		messages = f.receiveLocked(now, h, m)
	}
	if m.Kind == Ask && f.catalog.Complete() {
		answer, ok = Message{Kind: Answer, PeerProgress: f.progressLocked(now)}, true
	}
	f.mu.Unlock()
	f.send(messages)
	return answer, ok
}

// receiveLocked takes a message of a known host and returns the messages to send. f.mu must be
// held.
func (f *Feed) receiveLocked(now time.Time, h *catalog.Host, m Message) []outgoing {
	n := f.neighbourLocked(h.Name)
	n.told = m.Progress
	switch m.Kind {
	case Ask:
		n.askedAt = now
	case Answer:
		if n.stopTimeout != nil {
			n.stopTimeout()
			n.stopTimeout = nil
		}
		f.lag.answeredAt = now
		if outcome := f.judgeAnswerLocked(now, &m.PeerProgress); outcome != answered {
			f.options.Metrics.observePartner(outcome)
			return f.partnerFailedLocked(h)
		}
		f.options.Metrics.observePartner(answered)
		f.partners.recordAnswer()
	case News:
	default:
		return nil // a later build may have more kinds
	}
	if f.catalog.Complete() {
		f.hearFromLocked(h, m.PeerProgress)
		if m.Kind != Ask && m.Progress.Lacks(f.catalog.Progress()) {
			f.tellPartnersSoonLocked()
		}
	}
	return nil
}

// judgeAnswerLocked returns the outcome of a question as metrics have it. A partner that is cut
// off is of no use, nor one that the store answered too long ago while it answered this host
// lately. While the store answers nobody, partners are as good as before. f.mu must be held.
func (f *Feed) judgeAnswerLocked(now time.Time, known *PeerProgress) string {
	threshold := f.timing.OutageThreshold()
	switch {
	case known.Isolated:
		return "isolated"
	case known.Age > threshold && now.Sub(f.catalog.LastContact()) <= threshold:
		return "stale"
	default:
		return answered
	}
}

// tellNewsLocked returns the news for the hosts that have asked this one lately and have not
// shown that they know it, or makes tellNews tell it if others have just been told. f.mu must
// be held.
func (f *Feed) tellNewsLocked(now time.Time) []outgoing {
	if f.exchange.newsDue {
		return nil
	}
	if wait := newsGap - now.Sub(f.exchange.newsAt); wait > 0 {
		f.exchange.newsDue = true
		f.background.after(wait, func(context.Context) { f.tellNews() })
		return nil
	}
	f.exchange.newsAt = now
	var subscribers []catalog.Host
	for name, n := range f.exchange.neighbours {
		if h := f.selector.peer(name); h != nil && !n.askedAt.IsZero() && now.Sub(n.askedAt) < subscriptionTime {
			subscribers = append(subscribers, *h)
		}
	}
	return f.newsForLocked(now, subscribers)
}

// tellNews tells the news that was held back.
func (f *Feed) tellNews() {
	f.mu.Lock()
	f.exchange.newsDue = false
	messages := f.tellNewsLocked(f.options.Clock.Now())
	f.mu.Unlock()
	f.send(messages)
}

// newsForLocked returns messages with news to those of the hosts that have not shown that they
// know it. f.mu must be held.
func (f *Feed) newsForLocked(now time.Time, hosts []catalog.Host) []outgoing {
	own := f.progressLocked(now)
	var messages []outgoing
	for _, h := range hosts {
		if n := f.exchange.neighbours[h.Name]; n == nil || n.told.Lacks(own.Progress) {
			messages = append(messages, outgoing{h, Message{Kind: News, PeerProgress: own}})
		}
	}
	return messages
}

// tellPartnersSoonLocked calls tellPartners after tellDelay. f.mu must be held.
func (f *Feed) tellPartnersSoonLocked() {
	if !f.exchange.telling {
		f.exchange.telling = true
		f.background.after(tellDelay, func(context.Context) { f.tellPartners() })
	}
}

// tellPartners tells the news to the partners that have not shown that they know it.
func (f *Feed) tellPartners() {
	f.mu.Lock()
	f.exchange.telling = false
	now := f.options.Clock.Now()
	messages := f.newsForLocked(now, f.partners.nextOfEach(now))
	f.mu.Unlock()
	f.send(messages)
}

// forgetNeighboursLocked deletes what is known of hosts that have left. f.mu must be held.
func (f *Feed) forgetNeighboursLocked() {
	for name, n := range f.exchange.neighbours {
		if n.stopTimeout == nil && f.selector.peer(name) == nil {
			delete(f.exchange.neighbours, name)
		}
	}
}

// Progress returns what this host knows, the time since the store last answered, and a
// channel that is closed at the next change of the view. It returns false while the catalog
// is incomplete.
func (f *Feed) Progress() (known PeerProgress, changed <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progressLocked(f.options.Clock.Now()), f.changed, f.catalog.Complete()
}

// progressLocked returns what this host knows. f.mu must be held.
func (f *Feed) progressLocked(now time.Time) PeerProgress {
	return PeerProgress{Progress: f.catalog.Progress(), Age: now.Sub(f.catalog.LastContact()), Isolated: f.isolatedLocked(now)}
}

// isolatedFailures is the number of questions without an answer for each slot after which a
// host takes itself to be cut off.
const isolatedFailures = 2

// isolatedLocked reports whether neither sources nor partners have answered this host lately.
// f.mu must be held.
func (f *Feed) isolatedLocked(now time.Time) bool {
	return f.partners.failures >= isolatedFailures*f.partners.asking() && now.Sub(f.lag.answeredAt) > askInterval+2*answerTimeout
}

// NotePartner records the progress of a host that asks this one by a call, as those of an
// earlier build do.
func (f *Feed) NotePartner(name string, known PeerProgress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.selector.peer(name); h != nil && f.catalog.Complete() {
		f.neighbourLocked(name).told = known.Progress
		f.hearFromLocked(h, known)
	}
}
