package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// busySource is a store and a partner whose configuration changes with each call. It may be
// called concurrently.
type busySource struct {
	mu      sync.Mutex
	version uint64
	page    catalog.Page
}

func (s *busySource) next() (uint64, catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	return s.version, catalog.Change{Position: at(s.version + 10), Configuration: &catalog.Configuration{Version: s.version}}
}

func (s *busySource) List(context.Context, string, bool) (catalog.Page, error) { return s.page, nil }

func (s *busySource) Watch(context.Context, catalog.Have, time.Duration) (catalog.Update, error) {
	_, change := s.next()
	return catalog.Update{Position: change.Position, Changes: []catalog.Change{change}}, nil
}

func (s *busySource) WatchOperator(context.Context, catalog.Position, time.Duration) (catalog.Update, error) {
	return s.Watch(context.Background(), catalog.Have{}, 0)
}

// TestViewsNeverGoBack guards against views that are published out of order, or at the same
// time, by the reads of the source, of partners and of the operator's records. Run it with
// the race detector.
func TestViewsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	source := &busySource{version: 1, page: newTestFeed(t).store.pages[""]}
	metrics, err := NewMetrics(nil)
	g.Expect(err).NotTo(HaveOccurred())
	var publishing sync.Mutex
	var last uint64
	f := New(Options{
		Self: "a-0", DataCentre: "a", Store: source, Peer: func(catalog.Host) Source { return source }, Send: func(catalog.Host, Message) {},
		Timing: Timing{Pause: time.Millisecond, Wait: time.Second, Slack: time.Second, MaxBackoff: time.Second},
		Logger: zerolog.Nop(), Metrics: metrics, Now: time.Now, Seed: 1,
		OnView: func(v catalog.View) {
			if !publishing.TryLock() {
				t.Error("two views are published at the same time")
				return
			}
			defer publishing.Unlock()
			if v.Configuration.Version < last {
				t.Errorf("version %d after %d", v.Configuration.Version, last)
			}
			last = v.Configuration.Version
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { _ = f.Run(ctx) })
	loops.Go(func() { _ = f.RunPartners(ctx) })
	for ctx.Err() == nil {
		known, _, _ := f.Progress()
		known.Version++
		f.NotePartner("a-1", known)
		for _, kind := range []MessageKind{Ask, Answer, News} {
			f.Receive("a-1", Message{Kind: kind, PeerProgress: known})
		}
		f.NoteFollower("a-1", known.Have)
		f.ChangesSince(known.Have)
		f.Behind()
		time.Sleep(time.Millisecond)
	}
	loops.Wait()
	g.Expect(last).To(BeNumerically(">", 10))
}
