package feed

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// partnerFeed returns a feed of the host a-0 that has listed the store. Its only partner is a-1.
func partnerFeed(t *testing.T) *testFeed {
	f := newTestFeed(t)
	f.poll()
	f.advance(time.Second) // what the listing has brought is told
	f.sent = nil
	return f
}

// knows returns the progress of a host that knows the change of the version at the position.
func knows(position, version uint64) PeerProgress {
	return PeerProgress{Progress: catalog.Progress{Have: catalog.Have{Position: at(position), Version: version}, Newest: at(position)}, Age: time.Millisecond}
}

func (f *testFeed) receive(kind MessageKind, known PeerProgress) (Message, bool) {
	return f.feed.Receive("a-1", Message{Kind: kind, PeerProgress: known})
}

// learn makes the feed learn of a configuration from its source.
func (f *testFeed) learn(position, version uint64) {
	f.store.update = catalog.Update{Position: at(position), Changes: []catalog.Change{{Position: at(position), Configuration: &catalog.Configuration{Version: version}}}}
	f.poll()
}

// TestHostThatKnowsMoreIsRead covers a source that is silent or behind: whichever message tells
// of something that this host lacks, it is read.
func TestHostThatKnowsMoreIsRead(t *testing.T) {
	for _, kind := range []MessageKind{Ask, Answer, News} {
		g := NewWithT(t)
		f := partnerFeed(t)
		f.receive(kind, knows(7, 1))
		f.advance(time.Second)
		g.Expect(f.peer.watches).To(BeEmpty(), "it knows the same")
		f.receive(kind, knows(9, 2))
		f.peer.update = catalog.Update{Position: at(9), Changes: []catalog.Change{{Position: at(9), Configuration: &catalog.Configuration{Version: 2}}}}
		f.advance(partnerGrace - 1)
		g.Expect(f.peer.watches).To(BeEmpty(), "the own source may deliver it")
		f.advance(1)
		g.Expect(f.peer.watches).To(Equal([]uint64{7}))
		g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(2))
		g.Expect(f.feed.Behind()).To(BeZero())
	}
}

func TestReadWithoutUseIsNotRepeatedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.peer.update = catalog.Update{Position: at(7)}
	for range 4 {
		f.receive(News, knows(9, 2))
		f.advance(partnerGrace)
	}
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(f.feed.Behind()).To(BeNumerically(">=", 3*partnerGrace))
	f.advance(fruitlessGap)
	f.receive(News, knows(9, 2))
	f.advance(partnerGrace)
	g.Expect(f.peer.watches).To(HaveLen(2))
}

// TestAnswerTellsWhatTheHostKnows guards against hosts that are taken for silent, and against
// answers of hosts that know nothing yet.
func TestAnswerTellsWhatTheHostKnows(t *testing.T) {
	g := NewWithT(t)
	started := newTestFeed(t)
	_, ok := started.receive(Ask, knows(7, 1))
	g.Expect(ok).To(BeFalse())
	f := partnerFeed(t)
	answer, ok := f.receive(Ask, knows(7, 1))
	g.Expect(ok).To(BeTrue())
	g.Expect(answer.Kind).To(Equal(Answer))
	g.Expect(answer.Position).To(Equal(at(7)))
	_, ok = f.feed.Receive("unknown", Message{Kind: Ask})
	g.Expect(ok).To(BeTrue(), "it may have registered a moment ago")
	for _, kind := range []MessageKind{Answer, News, News + 1} {
		_, ok = f.receive(kind, knows(7, 1))
		g.Expect(ok).To(BeFalse(), kind.String())
	}
}

// TestNewsIsTold guards against hosts that learn of a change only when they ask, and against
// messages in a loop.
func TestNewsIsTold(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.receive(Ask, knows(7, 1))
	f.learn(9, 2)
	g.Expect(f.takeSent()).To(Equal(map[string][]MessageKind{"a-1": {News}}), "it has asked")
	f.learn(11, 3)
	g.Expect(f.takeSent()).To(BeEmpty(), "messages are limited")
	f.advance(newsGap)
	g.Expect(f.takeSent()["a-1"]).To(ContainElement(News))
	f.receive(News, knows(11, 3))
	f.advance(newsGap)
	f.learn(11, 3)
	f.advance(time.Second)
	g.Expect(f.takeSent()).To(BeEmpty(), "it has shown that it knows")
	f.receive(News, knows(9, 2))
	f.advance(tellDelay)
	g.Expect(f.takeSent()).To(Equal(map[string][]MessageKind{"a-1": {News}}), "it is behind")
	f.advance(subscriptionTime)
	f.receive(News, knows(13, 4))
	f.learn(13, 4)
	f.advance(time.Second)
	g.Expect(f.takeSent()).To(BeEmpty())
}

// TestSilentPartnerIsNoticed guards against hosts that rely on partners which do not answer.
func TestSilentPartnerIsNoticed(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.feed.askNext()
	g.Expect(f.takeSent()).To(Equal(map[string][]MessageKind{"a-1": {Ask}}))
	f.feed.askNext()
	g.Expect(f.takeSent()).To(BeEmpty(), "its answer is awaited")
	f.receive(Answer, knows(7, 1))
	f.advance(answerTimeout)
	g.Expect(f.silent).To(BeEmpty())
	g.Expect(f.feed.askPause()).To(Equal(askInterval))
	f.feed.askNext()
	f.advance(answerTimeout)
	g.Expect(f.silent).To(Equal([]string{"a-1"}))
	g.Expect(f.feed.askPause()).To(Equal(askInterval / 1))
	g.Expect(f.feed.calmLocked(f.now)).To(BeFalse())
	f.takeSent()
	f.feed.askNext()
	g.Expect(f.takeSent()).To(BeEmpty(), "it is left for a while")
	f.advance(peerCooldown)
	f.feed.askNext()
	g.Expect(f.takeSent()).To(HaveKey("a-1"))
}

// TestFailureMakesPartnersProveThatTheyLive guards against partners that fall silent together
// and are noticed one after the other.
func TestFailureMakesPartnersProveThatTheyLive(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	hosts := deployment(1, 20)
	f.feed.partners = newTestPartners(hosts[10], hosts)
	f.feed.send(f.feed.noteFailureLocked(f.now))
	g.Expect(f.takeSent()).To(HaveLen(localSlots))
	f.feed.send(f.feed.noteFailureLocked(f.now))
	g.Expect(f.takeSent()).To(BeEmpty(), "not again after each failure")
}

// TestCallTellsContact guards against hosts that take their sources for stale, and against
// those of an earlier build, which tell no age, being taken for fresh.
func TestCallTellsContact(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.advance(10 * time.Second)
	known := knows(7, 1)
	known.Age = 0
	f.feed.NotePartner("a-1", known)
	g.Expect(f.feed.Age()).To(BeNumerically(">=", 10*time.Second))
	known.Age = time.Second
	f.feed.NotePartner("a-1", known)
	g.Expect(f.feed.Age()).To(Equal(time.Second))
}

// TestStalePartnerIsKeptInAnOutage guards against hosts that leave all their partners because
// the store answers nobody, and against those that rely on one that is cut off.
func TestStalePartnerIsKeptInAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	stale := knows(7, 1)
	stale.Age = time.Minute
	f.receive(Answer, stale)
	g.Expect(f.feed.partners.cooldownUntil).To(HaveLen(1), "the store answers this host, so the partner is cut off from it")
	f.feed.partners.cooldownUntil = make(map[string]time.Time)
	f.advance(time.Minute)
	f.receive(Answer, stale)
	g.Expect(f.feed.partners.cooldownUntil).To(BeEmpty())
	isolated := knows(7, 1)
	isolated.Isolated = true
	f.receive(Answer, isolated)
	g.Expect(f.feed.partners.cooldownUntil).To(HaveLen(1))
}

// TestIsolatedHostSaysSo guards against hosts that rely on one which answers although nothing
// reaches it.
func TestIsolatedHostSaysSo(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.feed.partners.failures = isolatedFailures
	f.feed.lag.answeredAt = f.now
	known, _, _ := f.feed.Progress()
	g.Expect(known.Isolated).To(BeFalse(), "a source has just answered")
	f.advance(2 * time.Second)
	known, _, _ = f.feed.Progress()
	g.Expect(known.Isolated).To(BeTrue())
	f.receive(Answer, knows(7, 1))
	known, _, _ = f.feed.Progress()
	g.Expect(known.Isolated).To(BeFalse())
}

// TestAnswersOverlap covers answers of the store to calls from before a partner was read.
func TestAnswersOverlap(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	overtake := func() {
		f.peer.update = catalog.Update{Position: at(20), Changes: []catalog.Change{{Position: at(18), Configuration: &catalog.Configuration{Version: 5}}}}
		g.Expect(f.feed.readHost(context.Background(), f.peer)).To(Succeed())
	}
	f.store.during = overtake
	f.store.update = catalog.Update{Position: at(9), Changes: []catalog.Change{{Position: at(9), Delta: &catalog.Delta{Base: 4, Version: 6}}}}
	f.poll()
	g.Expect(f.store.lists).To(HaveLen(1), "a delta for another base is no reason for a listing")
	g.Expect(f.feed.have().Position).To(Equal(at(20)))

	f.feed.restartListing()
	f.store.during = func() {
		f.peer.update = catalog.Update{Position: at(40), Changes: []catalog.Change{{Position: at(40), Removed: "u"}}}
		g.Expect(f.feed.readHost(context.Background(), f.peer)).To(Succeed())
	}
	f.store.pages[""] = catalog.Page{Position: at(30), Current: true, Changes: f.store.pages[""].Changes}
	f.poll()
	g.Expect(f.feed.have().Position).To(Equal(at(40)))
	g.Expect(f.feed.catalog.RestoredAt().IsZero()).To(BeTrue(), "a listing that took long shows no restore of the store")
}
