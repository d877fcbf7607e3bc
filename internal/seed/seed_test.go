package seed

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

var secret = []byte("the peer key, which must not leave the host")

// testCatalog is a catalog of a host, or of one that has just started if page is nil.
type testCatalog struct{ page *catalog.Page }

func (c testCatalog) Snapshot() (catalog.Page, bool) {
	if c.page == nil {
		return catalog.Page{}, false
	}
	return *c.page, true
}

func (c testCatalog) Complete() bool { return c.page != nil }

func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

func wholePage() *catalog.Page {
	return &catalog.Page{Position: at(9), Changes: []catalog.Change{
		{Position: at(1), PeerKey: secret},
		{Position: at(2), Configuration: &catalog.Configuration{Version: 7}},
		{Position: at(3), Upstream: &catalog.Upstream{ID: 1, Name: "i-1", Service: "desk", Slots: 2}},
		{Position: at(4), Host: &catalog.Host{Name: "h"}},
		{Position: at(5), Removed: "i-2"},
		{Position: at(6), Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-a", Age: time.Minute}},
		{Position: at(7), Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-b", Withdrawn: true}},
		{Position: at(8), Removed: "i-3", LastRegistration: &catalog.Upstream{ID: 3, Service: "desk", Draining: true}, RemovedAge: time.Second},
	}, History: &catalog.History{From: at(1), Age: time.Minute, Former: []catalog.FormerService{
		{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Dropped: at(2), Age: time.Second},
	}}}
}

// startSeed serves the handler and returns its address.
func startSeed(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func newSeed(t *testing.T, page *catalog.Page) netip.AddrPort {
	return startSeed(t, NewServer(testCatalog{page}, nil, time.Now))
}

// TestSeedTellsOnlyWhatIsNeededToServe guards against secrets in a seed's page, and against a
// page without the evacuations in force.
func TestSeedTellsOnlyWhatIsNeededToServe(t *testing.T) {
	g := NewWithT(t)
	address := newSeed(t, wholePage())
	answer, err := Ask(context.Background(), []netip.AddrPort{address}, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Seed).To(Equal(address))
	page := answer.Page
	g.Expect(page.Position).To(Equal(at(9)))
	g.Expect(page.Unconfirmed).To(BeTrue())
	g.Expect(page.Changes).To(HaveLen(4))
	g.Expect(page.Changes[0].Configuration.Version).To(BeEquivalentTo(7))
	g.Expect(page.Changes[1].Upstream.Name).To(Equal("i-1"))
	g.Expect(page.Changes[2]).To(Equal(catalog.Change{Position: at(6), Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-a", Age: time.Minute}}))
	g.Expect(page.Changes[3]).To(Equal(wholePage().Changes[7]))
	g.Expect(page.History).To(Equal(wholePage().History))
	packed, err := encode(wholePage())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Contains(packed, secret)).To(BeFalse())
}

// TestOtherSeedsAnswerForABadOne covers seeds that are gone, silent, of another system, or
// have just started themselves.
func TestOtherSeedsAnswerForABadOne(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := closed.Addr().(*net.TCPAddr).AddrPort()
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel and never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	bad := map[string]netip.AddrPort{
		"gone":          gone,
		"silent":        silent.Addr().(*net.TCPAddr).AddrPort(),
		"just started":  newSeed(t, nil),
		"other system":  startSeed(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) })),
		"endless":       startSeed(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2*maxPageBytes)) })),
		"empty catalog": newSeed(t, &catalog.Page{Position: at(3)}),
	}
	good := newSeed(t, wholePage())
	for name, address := range bad {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer, err := Ask(context.Background(), []netip.AddrPort{address, good}, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Seed).To(Equal(good))
		})
	}
	t.Run("all", func(t *testing.T) {
		g := NewWithT(t)
		_, err := Ask(context.Background(), []netip.AddrPort{gone, newSeed(t, nil)}, "")
		g.Expect(err).To(HaveOccurred())
		_, err = Ask(context.Background(), nil, "")
		g.Expect(err).To(MatchError(errNoSeed))
	})
}

// TestEvacuationsOfABadSeed guards against names that no store has, from a seed that is not
// authentic: metrics and logs would not bear them.
func TestEvacuationsOfABadSeed(t *testing.T) {
	g := NewWithT(t)
	page := wholePage()
	page.Changes = page.Changes[1:2]
	for _, name := range []string{"", "\xff", strings.Repeat("x", maxNameBytes+1)} {
		page.Changes = append(page.Changes, catalog.Change{Position: at(5), Evacuation: &catalog.EvacuationRecord{DataCentre: name}})
	}
	for i := range 2 * maxEvacuations {
		page.Changes = append(page.Changes, catalog.Change{Position: at(5), Evacuation: &catalog.EvacuationRecord{DataCentre: strings.Repeat("y", i+1)}})
	}
	packed, err := gobpack.Pack(page)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decode(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Changes).To(HaveLen(1 + maxEvacuations))
}

// TestSeedTellsAKeptRequest guards against a request that a seed keeps after a restore of the
// store, and that the host which starts ignores because the store has no position for it.
func TestSeedTellsAKeptRequest(t *testing.T) {
	g := NewWithT(t)
	page := wholePage()
	page.Changes = append(page.Changes[1:2], catalog.Change{Override: true, Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-a", Origin: at(8)}})
	packed, err := encode(page)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decode(packed)
	g.Expect(err).NotTo(HaveOccurred())
	c := catalog.New(catalog.Options{})
	c.BeginListing()
	g.Expect(c.AddPage(time.Unix(1, 0), decoded)).To(Succeed())
	view, _ := c.TakeView()
	g.Expect(view.Evacuations).To(HaveLen(1))
}

// TestSeedLimitsItsAnswers bounds what a seed sends when many hosts start at once.
func TestSeedLimitsItsAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	s := NewServer(testCatalog{wholePage()}, nil, func() time.Time { return now })
	statuses := make(map[int]int)
	for range 430 {
		_, _, status := s.page("")
		statuses[status]++
	}
	g.Expect(statuses).To(Equal(map[int]int{http.StatusOK: maxAnswersPerSecond, http.StatusTooManyRequests: 430 - maxAnswersPerSecond}))
	now = now.Add(time.Second)
	_, _, status := s.page("")
	g.Expect(status).To(Equal(http.StatusOK))
}

func TestSeedServesOnePath(t *testing.T) {
	g := NewWithT(t)
	s := NewServer(testCatalog{wholePage()}, nil, time.Now)
	for _, r := range []*http.Request{httptest.NewRequest(http.MethodPost, pagePath, nil), httptest.NewRequest(http.MethodGet, "/", nil)} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(http.StatusNotFound))
		g.Expect(w.Body.Len()).To(BeZero())
	}
}

func FuzzDecode(f *testing.F) {
	for _, page := range []*catalog.Page{wholePage(), {Position: at(1)}, {Position: at(1), Changes: []catalog.Change{{Configuration: &catalog.Configuration{Version: 1}}}}} {
		packed, err := gobpack.Pack(page)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, packed []byte) {
		page, err := decode(packed)
		if err != nil {
			return
		}
		for i := range page.Changes {
			departed := page.Changes[i].Removed != "" && page.Changes[i].LastRegistration != nil
			if c := &page.Changes[i]; c.Configuration == nil && c.Upstream == nil && c.Evacuation == nil && !departed || c.PeerKey != nil || c.Host != nil {
				t.Errorf("accepted %+v", c)
			}
		}
		c := catalog.New(catalog.Options{})
		c.BeginListing()
		if err := c.AddPage(time.Unix(1, 0), page); err != nil {
			t.Error(err)
		}
		c.TakeView()
	})
}
