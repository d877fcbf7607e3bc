package catalogrpc

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gobpack"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/registration"
)

// fakeCatalog returns the configured results. ChangesSince receives the next update from
// the channel updates if there is one, and otherwise returns the current one again.
type fakeCatalog struct {
	page     catalog.Page
	ready    bool
	updates  chan catalog.Update
	current  catalog.Update
	changed  chan struct{}
	known    bool
	progress feed.PeerProgress
	// followers are the states that the followers told, by name.
	followers map[string]catalog.Have
}

func (c *fakeCatalog) Snapshot() (catalog.Page, bool) { return c.page, c.ready }

func (c *fakeCatalog) Progress() (feed.PeerProgress, <-chan struct{}, bool) {
	return c.progress, c.changed, c.ready
}

func (c *fakeCatalog) NotePartner(name string, known feed.PeerProgress) {
	c.NoteFollower(name, known.Have)
}

func (c *fakeCatalog) NoteFollower(name string, have catalog.Have) {
	if c.followers == nil {
		c.followers = make(map[string]catalog.Have)
	}
	c.followers[name] = have
}

func (c *fakeCatalog) ChangesSince(catalog.Have) (catalog.Update, <-chan struct{}, bool) {
	select {
	case c.current = <-c.updates:
	default:
	}
	return c.current, c.changed, c.known
}

// issueTLS returns the credentials of the named host.
func issueTLS(t testing.TB, peerKey, formerKey []byte, name string) *peer.TLS {
	t.Helper()
	sources, err := registration.IssueKeys(peerKey, formerKey, peer.Identity{Host: host.ID(name), DataCentre: "a"})
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := peer.LoadTLS(sources)
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// newConnectedSource returns a source that reads the catalog through a server on a
// loopback address, over TLS.
func newConnectedSource(t testing.TB, provider CatalogProvider) *Source {
	t.Helper()
	peerKey := registration.NewPeerKey()
	server, err := peer.NewServer(peer.ServerOptions{Self: "parent", Listen: loopback, TLS: issueTLS(t, peerKey, nil, "parent"), Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	server.Register(ServiceName, func(caller host.ID) any { return NewService(provider, caller) })
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	client := peer.NewClient(peer.ClientOptions{Self: "child", TLS: issueTLS(t, peerKey, nil, "child"), Logger: zerolog.Nop()})
	t.Cleanup(func() {
		_ = client.Close()
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return NewSource(client, server.Addr())
}

func TestListOverConnection(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCatalog{}
	source := newConnectedSource(t, c)
	ctx := context.Background()
	_, err := source.List(ctx, "", true)
	g.Expect(err).To(MatchError(ErrNotReady))
	c.ready = true
	c.page = catalog.Page{Position: at(9), Age: time.Second, Changes: []catalog.Change{
		{Position: at(3), Configuration: &catalog.Configuration{Version: 4, Routes: []catalog.Route{{Name: "r", Address: loopback, Shares: []catalog.Share{{Service: "s", Weight: 1}}}}}},
		{Position: at(8), Upstream: &catalog.Upstream{ID: 5, Name: "i-5", Address: loopback, RecordID: catalog.RecordID{Started: time.UnixMilli(77)}}},
		{Position: at(9), Override: true, Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-a", Withdrawn: true, Age: time.Minute, Origin: at(7), KeptFor: time.Second}},
	}}
	page, err := source.List(ctx, "", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Changes[0].Configuration).To(Equal(c.page.Changes[0].Configuration))
	g.Expect(page.Changes[1].Upstream.Started.Equal(time.UnixMilli(77))).To(BeTrue())
	g.Expect(page.Changes[2]).To(Equal(c.page.Changes[2]))
	g.Expect(page.Age).To(Equal(time.Second))
}

// at returns the position of the revision in the first epoch.
func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

func haveAt(position uint64) catalog.Have { return catalog.Have{Position: at(position)} }

func TestPackCompressesManyRoutes(t *testing.T) {
	g := NewWithT(t)
	page := catalog.Page{Changes: []catalog.Change{{Position: at(1), Configuration: &catalog.Configuration{Version: 1}}}}
	for port := range uint16(1400) {
		page.Changes[0].Configuration.Routes = append(page.Changes[0].Configuration.Routes, catalog.Route{
			Name: fmt.Sprintf("r-%x", uint32(port)*2654435761), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(port >> 8), byte(port)}), 443),
			Shares: []catalog.Share{{Service: "desk", Weight: 1}}, Timeout: time.Second, Objective: time.Second, Priority: 2,
		})
	}
	packed, err := gobpack.Pack(&page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", 40_000), "names and addresses hardly compress, so each route takes about 25 bytes")
	var decoded catalog.Page
	g.Expect(gobpack.Unpack(packed, &decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(page))
	g.Expect(gobpack.Unpack(packed[:len(packed)/2], &decoded)).NotTo(Succeed())
}

func TestWatchOverConnection(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCatalog{changed: make(chan struct{}), updates: make(chan catalog.Update, 1)}
	source := newConnectedSource(t, c)
	ctx := context.Background()
	_, err := source.Watch(ctx, haveAt(3), time.Second)
	g.Expect(errors.Is(err, feed.ErrCompacted)).To(BeTrue())

	c.known = true
	c.current = catalog.Update{Position: at(4), Changes: []catalog.Change{{Position: at(3), Removed: "u"}}}
	update, err := source.Watch(ctx, haveAt(3), time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(update.Position).To(Equal(at(4)), "a watch without new changes must end after its wait")

	c.updates <- catalog.Update{Position: at(6), Changes: []catalog.Change{{Position: at(6), Removed: "u"}}}
	update, err = source.Watch(ctx, haveAt(4), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(update.Changes).To(HaveLen(1), "a watch must return existing changes at once")

	answered := make(chan catalog.Update, 1)
	go func() {
		update, err := source.Watch(ctx, haveAt(6), time.Hour)
		if err != nil {
			t.Error(err)
		}
		answered <- update
	}()
	c.updates <- catalog.Update{Position: at(8), Changes: []catalog.Change{{Position: at(8), Removed: "v"}}}
	close(c.changed)
	g.Expect((<-answered).Position).To(Equal(at(8)))
}

// progressOf makes the call with which hosts of earlier builds ask others what they know.
func progressOf(ctx context.Context, s *Source, own feed.PeerProgress, wait time.Duration) (feed.PeerProgress, error) {
	var reply ProgressReply
	args := &ProgressArgs{Own: own.Progress, Age: own.Age, Wait: wait}
	if err := s.client.CallAddress(ctx, s.address, ServiceName+".Progress", args, &reply); err != nil {
		return feed.PeerProgress{}, err
	}
	if !reply.Ready {
		return feed.PeerProgress{}, ErrNotReady
	}
	return reply.Known, nil
}

// TestProgressOverConnection checks that a call is held only while the caller lacks nothing.
func TestProgressOverConnection(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCatalog{changed: make(chan struct{})}
	source := newConnectedSource(t, c)
	ctx := context.Background()
	_, err := progressOf(ctx, source, feed.PeerProgress{}, time.Hour)
	g.Expect(err).To(MatchError(ErrNotReady))
	c.ready = true
	c.progress = feed.PeerProgress{Progress: catalog.Progress{Have: catalog.Have{Position: at(9), Version: 3, Overrides: 1}, Newest: at(8)}, Age: time.Second}
	known, err := progressOf(ctx, source, feed.PeerProgress{Progress: catalog.Progress{Have: haveAt(7)}}, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(Equal(c.progress))
	g.Expect(c.followers).To(HaveKeyWithValue("child", haveAt(7)), "the caller tells what it knows")
	known, err = progressOf(ctx, source, c.progress, time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(Equal(c.progress), "a call without news must end after its wait")
	ended, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = progressOf(ended, source, c.progress, time.Hour)
	g.Expect(err).To(HaveOccurred(), "the call must be held")
	close(c.changed)
	_, err = progressOf(ctx, source, c.progress, time.Hour)
	g.Expect(err).NotTo(HaveOccurred(), "a change must end the wait")
}

func TestHostWithDifferentPeerKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	source := newConnectedSource(t, &fakeCatalog{ready: true})
	untrusted := issueTLS(t, registration.NewPeerKey(), nil, "stranger")
	client := peer.NewClient(peer.ClientOptions{Self: "stranger", TLS: untrusted, Logger: zerolog.Nop()})
	defer client.Close()
	_, err := NewSource(client, source.address).List(context.Background(), "", false)
	g.Expect(err).To(HaveOccurred())
}

// TestHostsAgreeOnAnotherPeerKey covers a peer key that a restored store has lost and that a
// host which has started since created anew: hosts with the new key accept those that have
// only the former one, and all can call each other once they have replaced it.
func TestHostsAgreeOnAnotherPeerKey(t *testing.T) {
	g := NewWithT(t)
	former, current := registration.NewPeerKey(), registration.NewPeerKey()
	server, err := peer.NewServer(peer.ServerOptions{Self: "parent", Listen: loopback, TLS: issueTLS(t, current, former, "parent"), Logger: zerolog.Nop()})
	g.Expect(err).NotTo(HaveOccurred())
	server.Register(ServiceName, func(caller host.ID) any { return NewService(&fakeCatalog{ready: true}, caller) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	credentials := issueTLS(t, former, nil, "child")
	call := func() error {
		client := peer.NewClient(peer.ClientOptions{Self: "child", TLS: credentials, Logger: zerolog.Nop()})
		defer client.Close()
		_, err := NewSource(client, server.Addr()).List(ctx, "", false)
		return err
	}
	g.Expect(call()).NotTo(Succeed(), "the child does not trust the new key yet")
	sources, err := registration.IssueKeys(current, former, credentials.Identity())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(credentials.Replace(sources)).To(Succeed())
	g.Expect(call()).To(Succeed())
	other, err := registration.IssueKeys(current, nil, peer.Identity{Host: "other", DataCentre: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(credentials.Replace(other)).NotTo(Succeed())
	g.Expect(call()).To(Succeed(), "keys that are refused replace nothing")
}

func TestFollowerAfterARestore(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCatalog{current: catalog.Update{Position: at(9)}}
	source := newConnectedSource(t, c)
	ahead := catalog.Have{Position: catalog.Position{Epoch: 1, Revision: 5}, Version: 7, Overrides: 2}
	_, err := source.Watch(context.Background(), ahead, time.Second)
	g.Expect(err).To(MatchError(feed.ErrBehind), "the follower must not read a listing of an earlier epoch")
	g.Expect(c.followers).To(Equal(map[string]catalog.Have{"child": ahead}))
	c.current.Position.Epoch = 2
	_, err = source.Watch(context.Background(), ahead, time.Second)
	g.Expect(err).To(MatchError(feed.ErrCompacted))
}

// TestOverridesDoNotEndAWatch checks that only what the follower lacks ends its watch.
func TestOverridesDoNotEndAWatch(t *testing.T) {
	tests := []struct {
		name   string
		change catalog.Change
		ends   bool
	}{
		{"an override of an upstream", catalog.Change{Position: at(3), Override: true, Removed: "u"}, false},
		{"an override of the configuration", catalog.Change{Position: at(0), Override: true, Configuration: &catalog.Configuration{Version: 2}}, true},
		{"a configuration at an earlier position", catalog.Change{Position: at(3), Configuration: &catalog.Configuration{Version: 2}}, false},
		{"a later change", catalog.Change{Position: at(5), Removed: "u"}, true},
		{"a change of a later epoch", catalog.Change{Position: catalog.Position{Epoch: 1, Revision: 2}, Removed: "u"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			update := catalog.Update{Position: at(9), Changes: []catalog.Change{test.change}}
			if got := update.HasNewChanges(haveAt(4)); got != test.ends {
				t.Errorf("got %t, want %t", got, test.ends)
			}
		})
	}
}

// TestWatchTellsEarlierConfigurationsAtOnce covers a host that knows only the newest
// configuration: it holds packets of open flows until it knows the earlier ones.
func TestWatchTellsEarlierConfigurationsAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCatalog{changed: make(chan struct{}), updates: make(chan catalog.Update, 1), known: true}
	source := newConnectedSource(t, c)
	c.current = catalog.Update{Position: at(9), History: &catalog.History{From: at(3), Age: time.Second, Former: []catalog.FormerService{
		{Address: loopback, Service: "desk", Dropped: at(4), Age: time.Second},
	}}}
	have := catalog.Have{Position: at(9), HistoryFrom: at(8)}
	update, err := source.Watch(context.Background(), have, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(update.History).To(Equal(c.current.History))
	have.HistoryFrom = at(3)
	started := time.Now()
	_, err = source.Watch(context.Background(), have, 50*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically(">=", 50*time.Millisecond), "the host knows as much")
}
