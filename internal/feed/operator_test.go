package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// operatorSource returns the configured answers to watches of the operator's records.
type operatorSource struct {
	*fakeSource
	answers []catalog.Update
	err     error
	after   []uint64 // position of each call
}

func (s *operatorSource) WatchOperator(_ context.Context, after catalog.Position, _ time.Duration) (catalog.Update, error) {
	s.after = append(s.after, after.Revision)
	if len(s.answers) == 0 {
		return catalog.Update{Position: after}, s.err
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer, nil
}

// TestOperatorRecordIsInForceAtOnce checks that the record does not wait for the pause
// between two watches, and that the changes before it are still read.
func TestOperatorRecordIsInForceAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	source := &operatorSource{fakeSource: f.store, answers: []catalog.Update{
		{Position: at(12), Changes: []catalog.Change{{Position: at(12), Configuration: &catalog.Configuration{Version: 2}}}},
	}}
	after, _ := f.feed.watchOperator(context.Background(), source, at(7))
	g.Expect(after).To(Equal(at(12)))
	g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(2))
	f.poll()
	g.Expect(f.store.watches).To(Equal([]uint64{7}))

	source.err = ErrCompacted
	after, delay := f.feed.watchOperator(context.Background(), source, at(12))
	g.Expect(after).To(BeZero(), "the next watch begins at the catalog's position")
	g.Expect(delay).To(Equal(operatorRetry))
	source.err = errors.New("no answer")
	after, delay = f.feed.watchOperator(context.Background(), source, at(12))
	g.Expect(after).To(Equal(at(12)))
	g.Expect(delay).To(Equal(operatorRetry), "a store that refuses is not called in a loop")
	source.answers = []catalog.Update{{Position: catalog.Position{Epoch: 1, Revision: 3}, Changes: []catalog.Change{{Position: catalog.Position{Epoch: 1, Revision: 3}, Configuration: &catalog.Configuration{Version: 3}}}}}
	after, _ = f.feed.watchOperator(context.Background(), source, at(12))
	g.Expect(after).To(BeZero())
	g.Expect(f.feed.have().Version).To(BeEquivalentTo(2), "the watch of all records finds out about the restore")
}

// TestOnlyTheFirstHostWatchesTheOperator guards against a call to the store from each host,
// also while all start and are not registered yet.
func TestOnlyTheFirstHostWatchesTheOperator(t *testing.T) {
	g := NewWithT(t)
	for self, want := range map[string]bool{"a-0": true, "a-1": false, "not registered": false} {
		f := newTestFeed(t)
		source := &operatorSource{fakeSource: f.store}
		f.feed.options.Store, f.feed.selector.self = source, self
		position, _ := f.feed.operatorPosition()
		g.Expect(position).To(BeZero(), "the catalog is incomplete")
		f.poll()
		g.Expect(f.feed.watchingOperator).To(Equal(want), self)
		position, watching := f.feed.operatorPosition()
		g.Expect(position).To(Equal(at(7)))
		g.Expect(watching).To(Equal(want), self)
	}
}
