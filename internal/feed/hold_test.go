package feed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// TestHeldCallsEndInTurn guards against slots whose calls are all held by silent partners for
// longer than partnerWait, and against long calls while something fails.
func TestHeldCallsEndInTurn(t *testing.T) {
	tests := []struct {
		name            string
		others          []time.Duration
		failed, contact time.Duration
		want            time.Duration
	}{
		{"no other call", nil, time.Hour, 0, partnerWait},
		{"another ends first", []time.Duration{partnerWait}, time.Hour, 0, 2 * partnerWait},
		{"a gap between two others", []time.Duration{1900 * time.Millisecond, 300 * time.Millisecond}, time.Hour, 0, 1100 * time.Millisecond},
		{"a failure", []time.Duration{partnerWait}, calmTime - 1, 0, partnerWait / 2},
		{"an old contact", nil, time.Hour, 3 * time.Second, partnerWait / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFeed(t)
			f.poll()
			f.feed.partners.slots[0].candidates, f.feed.partners.slots[1].candidates = []catalog.Host{{}}, []catalog.Host{{}}
			now := f.feed.catalog.LastContact().Add(test.contact)
			f.feed.lag.failedAt = now.Add(-test.failed)
			for i, end := range test.others {
				f.feed.lag.calls[i+1].until = now.Add(end)
			}
			NewWithT(t).Expect(f.feed.holdLocked(now, 0)).To(Equal(test.want))
		})
	}
}

// TestFailureEndsLongCalls guards against partners that fall silent together with the first
// one that is noticed, and are noticed only when their longer calls end.
func TestFailureEndsLongCalls(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	ended := make(map[int]bool)
	for i := range f.feed.lag.calls {
		f.feed.lag.calls[i] = partnerCall{cancel: func() { ended[i] = true }, long: i == 1}
	}
	f.feed.noteFailureLocked(f.now)
	g.Expect(ended).To(Equal(map[int]bool{1: true}))
	f.feed.partners.slots[1].candidates = []catalog.Host{{Name: "b"}}
	_, wait := f.feed.partners.next(f.now, 1)
	g.Expect(wait).To(BeZero(), "whether it is alive must be known soon")
}

// TestCallTellsContact guards against hosts that take their sources for stale, and against
// those of an earlier build, which tell no age, being taken for fresh.
func TestCallTellsContact(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.now = f.now.Add(10 * time.Second)
	before := f.feed.catalog.LastContact()
	known := f.feed.progressLocked(f.now)
	name := f.feed.selector.peers[0].Name
	known.Age = 0
	f.feed.NotePartner(name, known)
	g.Expect(f.feed.catalog.LastContact()).To(Equal(before))
	known.Age = time.Second
	f.feed.NotePartner(name, known)
	g.Expect(f.feed.catalog.LastContact()).To(Equal(f.now.Add(-time.Second)))
}
