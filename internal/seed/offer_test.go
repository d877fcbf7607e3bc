package seed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// testOffered is a host that has just started.
type testOffered struct{ page *catalog.Page }

func (o *testOffered) Take(page *catalog.Page) bool {
	later := o.page == nil || page.Position.After(o.page.Position)
	if later {
		o.page = page
	}
	return later
}

func (o *testOffered) Tag() string {
	if o.page == nil {
		return ""
	}
	return Tag(o.page)
}

// TestOffer guards against a host that stays without a page, that misses later ones, or whose
// own catalog is replaced.
func TestOffer(t *testing.T) {
	g := NewWithT(t)
	started := &testOffered{}
	address := startSeed(t, NewServer(testCatalog{}, started, time.Now))
	offer := func(position uint64) bool {
		page := wholePage()
		page.Position = at(position)
		_, taken, err := Offer(context.Background(), address, func() (catalog.Page, bool) { return *page, true })
		g.Expect(err).NotTo(HaveOccurred())
		return taken
	}
	g.Expect(offer(9)).To(BeTrue())
	g.Expect(started.page.Unconfirmed).To(BeTrue())
	g.Expect(offer(8)).To(BeFalse(), "the host has a later page")
	g.Expect(offer(12)).To(BeTrue())
	g.Expect(started.page.Position).To(Equal(at(12)))
	for _, complete := range []Offered{&testOffered{}, nil} {
		address = startSeed(t, NewServer(testCatalog{wholePage()}, complete, time.Now))
		g.Expect(offer(12)).To(BeFalse())
		needed, _, err := Offer(context.Background(), address, func() (catalog.Page, bool) {
			t.Error("a page is built that the host does not need")
			return catalog.Page{}, false
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(needed).To(BeFalse())
	}
}

// TestBadOffers guards against pages of something that is no host, and bounds the work that
// offers cause.
func TestBadOffers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	s := NewServer(testCatalog{}, &testOffered{}, func() time.Time { return now })
	put := func(body string) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPut, pagePath, strings.NewReader(body)))
		return w.Code
	}
	g.Expect(put("<html>")).To(Equal(http.StatusBadRequest))
	g.Expect(put(strings.Repeat("a", maxPageBytes+1))).To(Equal(http.StatusRequestEntityTooLarge))
	for range maxAnswersPerSecond - 2 {
		put("")
	}
	g.Expect(put("")).To(Equal(http.StatusTooManyRequests))
}

// TestUnchangedPageIsNotSentAgain bounds what a host costs that follows a seed.
func TestUnchangedPageIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	address := newSeed(t, wholePage())
	answer, err := Ask(context.Background(), []netip.AddrPort{address}, "")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err = Ask(context.Background(), []netip.AddrPort{address}, answer.Tag)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Unchanged).To(BeTrue())
}
