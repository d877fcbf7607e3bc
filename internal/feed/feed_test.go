package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// at returns the position of the revision in the first epoch.
func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

// fakeSource returns the configured answers and records the calls.
type fakeSource struct {
	pages  map[string]catalog.Page
	update catalog.Update
	err    error
	// during, if set, is called once during the next call.
	during  func()
	lists   []bool   // allowStale of each call of List
	watches []uint64 // position of each call of Watch
}

func (s *fakeSource) List(_ context.Context, after string, allowStale bool) (catalog.Page, error) {
	s.lists = append(s.lists, allowStale)
	s.callDuring()
	return s.pages[after], s.err
}

func (s *fakeSource) Watch(_ context.Context, have catalog.Have, _ time.Duration) (catalog.Update, error) {
	s.watches = append(s.watches, have.Position.Revision)
	s.callDuring()
	return s.update, s.err
}

func (s *fakeSource) callDuring() {
	if during := s.during; during != nil {
		s.during = nil
		during()
	}
}

// testFeed is a feed with a virtual clock and fake sources.
type testFeed struct {
	now   time.Time
	store *fakeSource
	peer  *fakeSource
	feed  *Feed
	views []catalog.View
	// sent are the messages sent, by host, and silent the hosts reported as silent.
	sent   []outgoing
	silent []string
	timers []*testTimer
}

// testTimer is a call of AfterFunc.
type testTimer struct {
	at time.Time
	f  func()
}

// Now, Sleep, WithTimeout and AfterFunc implement Clock.
func (f *testFeed) Now() time.Time { return f.now }

func (f *testFeed) Sleep(ctx context.Context, d time.Duration) error {
	f.advance(d)
	return ctx.Err()
}

func (f *testFeed) WithTimeout(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

func (f *testFeed) AfterFunc(d time.Duration, call func()) (stop func() bool) {
	timer := &testTimer{f.now.Add(d), call}
	f.timers = append(f.timers, timer)
	return func() bool {
		pending := timer.f != nil
		timer.f = nil
		return pending
	}
}

// advance moves the clock and makes the calls that become due.
func (f *testFeed) advance(d time.Duration) {
	until := f.now.Add(d)
	for {
		var next *testTimer
		for _, timer := range f.timers {
			if timer.f != nil && !timer.at.After(until) && (next == nil || timer.at.Before(next.at)) {
				next = timer
			}
		}
		if next == nil {
			f.now = until
			return
		}
		f.now = next.at
		call := next.f
		next.f = nil
		call()
	}
}

// takeSent returns the kinds of the messages sent since the last call, by host.
func (f *testFeed) takeSent() map[string][]MessageKind {
	sent := make(map[string][]MessageKind)
	for _, m := range f.sent {
		sent[m.to.Name] = append(sent[m.to.Name], m.Kind)
	}
	f.sent = nil
	return sent
}

func newTestFeed(t *testing.T) *testFeed {
	metrics, err := NewMetrics(nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFeed{now: start, peer: &fakeSource{}, store: &fakeSource{pages: map[string]catalog.Page{"": {Position: at(7), Changes: []catalog.Change{
		{Position: at(3), Configuration: &catalog.Configuration{Version: 1}},
		{Position: at(4), Upstream: &catalog.Upstream{ID: 1, Name: "u", Service: "desk", Slots: 1}},
		{Position: at(5), Host: &catalog.Host{Name: "a-0", DataCentre: "a", Joined: 5}},
		{Position: at(6), Host: &catalog.Host{Name: "a-1", DataCentre: "a", Joined: 6}},
	}}}}}
	f.feed = New(Options{
		Self: "a-0", DataCentre: "a", Store: f.store, Peer: func(catalog.Host) Source { return f.peer },
		Timing: NewTiming(3 * time.Second), OnView: func(v catalog.View) { f.views = append(f.views, v) },
		Send:     func(to catalog.Host, m Message) { f.sent = append(f.sent, outgoing{to, m}) },
		OnSilent: func(name string) { f.silent = append(f.silent, name) },
		Logger:   zerolog.Nop(), Metrics: metrics, Clock: f, Seed: 1,
	})
	return f
}

func (f *testFeed) poll() time.Duration { return f.feed.poll(context.Background()) }

func TestWatchStartsRightAfterListing(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	g.Expect(f.poll()).To(BeZero())
	g.Expect(f.views).To(HaveLen(1))
	f.store.update = catalog.Update{Position: at(9), Changes: []catalog.Change{{Position: at(9), Configuration: &catalog.Configuration{Version: 2}}}}
	g.Expect(f.poll()).To(Equal(f.feed.options.Timing.Pause))
	g.Expect(f.store.watches).To(Equal([]uint64{7}))
	g.Expect(f.views[1].Configuration.Version).To(BeEquivalentTo(2))
}

func TestViewIsPublishedAfterFirstPage(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	first := f.store.pages[""]
	first.Next = "page-2"
	f.store.pages[""] = first
	f.store.pages["page-2"] = catalog.Page{Position: at(8), Changes: []catalog.Change{{Position: at(8), Upstream: &catalog.Upstream{ID: 2, Name: "v", Service: "desk", Slots: 1}}}}
	f.poll()
	g.Expect(f.views).To(HaveLen(1))
	f.poll()
	g.Expect(f.views[1].Upstreams).To(HaveLen(2))
	f.poll()
	g.Expect(f.store.watches).To(Equal([]uint64{7}), "changes made after the first page was read must still be fetched")
}

func TestCompactionCausesConsistentListing(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	f.store.err = ErrCompacted
	g.Expect(f.poll()).To(BeZero())
	f.store.err = nil
	f.poll()
	g.Expect(f.store.lists).To(Equal([]bool{true, false}))
}

func TestRetryDelayIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	f.store.err = errors.New("no answer")
	f.peer.err = f.store.err
	for range 30 {
		delay := f.poll()
		f.now = f.now.Add(delay)
		g.Expect(delay).To(BeNumerically(">", 0))
		g.Expect(delay).To(BeNumerically("<=", f.feed.options.Timing.MaxBackoff))
	}
	g.Expect(f.feed.Age()).To(Equal(f.now.Sub(start)))
}

func TestStalePeerIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.feed.selector.self = "a-1"
	f.poll()
	f.peer.update = catalog.Update{Position: at(8), Age: time.Minute, Changes: []catalog.Change{{Position: at(8), Configuration: &catalog.Configuration{Version: 5}}}}
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(f.views[1].Configuration.Version).To(BeEquivalentTo(5), "the answer of a stale peer must still be merged")
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(f.store.watches).To(HaveLen(1))
}

func TestHostsDoNotFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	f.store.err = errors.New("refused")
	for range peerFallbackThreshold {
		f.poll()
	}
	f.peer.update = catalog.Update{Position: at(7), Via: "a-0"}
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(sourceName(f.feed.selector.next(f.now))).To(Equal(storeName), "the only other host reads this one")
}

func TestTimingAllowsForOneLostCall(t *testing.T) {
	for _, limit := range []time.Duration{3 * time.Second, 5 * time.Second} {
		timing := NewTiming(limit)
		worst := timing.Pause + timing.callTimeout() + timing.MaxBackoff
		if worst >= limit {
			t.Errorf("a change takes up to %s if a call is lost, want less than %s", worst, limit)
		}
	}
}

// TestViewWithoutUpstreamsIsServedOnceListed covers a configuration on the first page of a
// listing whose other pages hold nothing that changes the view.
// TestHostsAreKnownBeforeThereIsAConfiguration guards against hosts that start together and call
// the store until the operator has written a configuration.
func TestHostsAreKnownBeforeThereIsAConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	var hosts []int
	f.feed.options.OnHosts = func(v catalog.View) { hosts = append(hosts, len(v.Hosts)) }
	page := f.store.pages[""]
	page.Changes = page.Changes[2:]
	f.store.pages[""] = page
	f.poll()
	g.Expect(hosts).To(Equal([]int{2}))
	g.Expect(f.views).To(BeEmpty())
}

func TestViewWithoutUpstreamsIsServedOnceListed(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.store.pages[""] = catalog.Page{Position: at(7), Next: "page-2", Changes: []catalog.Change{{Position: at(3), Configuration: &catalog.Configuration{Version: 1}}}}
	f.store.pages["page-2"] = catalog.Page{Position: at(8)}
	f.poll()
	g.Expect(f.views).To(BeEmpty(), "an incomplete listing without upstreams would refuse all flows")
	f.poll()
	g.Expect(f.views).To(HaveLen(1))
	g.Expect(f.views[0].Configuration.Version).To(BeEquivalentTo(1))
}

// TestUnpublishedViewIsServedOnceListed covers a change on the first page of a listing that
// cannot be served yet, when the rest of the listing changes nothing.
func TestUnpublishedViewIsServedOnceListed(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.store.pages[""] = catalog.Page{Position: at(7), Changes: []catalog.Change{{Position: at(3), Configuration: &catalog.Configuration{Version: 1}}}}
	f.poll()
	f.store.err = ErrCompacted
	f.poll()
	f.store.err = nil
	f.store.pages[""] = catalog.Page{Position: at(9), Next: "page-2", Changes: []catalog.Change{{Position: at(8), Configuration: &catalog.Configuration{Version: 2}}}}
	f.store.pages["page-2"] = catalog.Page{Position: at(9)}
	f.poll()
	f.poll()
	g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(2))
}

// TestFirstPeerIsReadOnceItCanBeCalled guards against a host that waits for the store, while
// it holds packets, because its credentials for calls to other hosts were not ready yet.
func TestFirstPeerIsReadOnceItCanBeCalled(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.feed.selector.self = "a-1"
	ready := false
	f.feed.options.Peer = func(catalog.Host) Source {
		if ready {
			return f.peer
		}
		return nil
	}
	f.poll()
	g.Expect(f.poll()).To(Equal(peerWait))
	g.Expect(f.store.watches).To(BeEmpty())
	ready = true
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))

	ready = false
	for range 2 * maxPeerWaits {
		f.poll()
	}
	g.Expect(f.store.watches).NotTo(BeEmpty(), "the store is read if hosts cannot call each other")
}
