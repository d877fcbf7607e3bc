package registration

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/peer"
)

// fakeStore is a Store that records the calls and returns err from each of them.
type fakeStore struct {
	calls []string
	err   error
	lease Lease
}

func (s *fakeStore) record(name string) error {
	s.calls = append(s.calls, name)
	return s.err
}

func (s *fakeStore) WritePeerKey(context.Context, []byte, catalog.Position) error {
	return s.record("key")
}

func (s *fakeStore) Register(context.Context, catalog.Host, time.Duration) (Lease, error) {
	s.lease.ID++
	s.lease.Registered.Revision++
	return s.lease, s.record("register")
}

func (s *fakeStore) Renew(context.Context, Lease) error { return s.record("renew") }

func (s *fakeStore) Unregister(context.Context, string, Lease) error { return s.record("leave") }

func newTestRegistrar() (*Registrar, *fakeStore) {
	store := &fakeStore{}
	return NewRegistrar(Options{Store: store, Logger: zerolog.Nop(), Seed: 1}), store
}

func TestRegistrationIsRenewed(t *testing.T) {
	g := NewWithT(t)
	r, store := newTestRegistrar()
	g.Expect(r.step(context.Background())).To(Equal(renewInterval))
	g.Expect(r.step(context.Background())).To(Equal(renewInterval))
	r.unregister()
	g.Expect(store.calls).To(Equal([]string{"register", "renew", "leave"}))
}

func TestLapsedRegistrationIsReplaced(t *testing.T) {
	g := NewWithT(t)
	r, store := newTestRegistrar()
	r.step(context.Background())
	store.err = ErrLeaseEnded
	g.Expect(r.step(context.Background())).To(BeZero())
	store.err = nil
	r.step(context.Background())
	g.Expect(store.calls).To(Equal([]string{"register", "renew", "register"}))
	g.Expect(r.lease.ID).To(BeEquivalentTo(2))
}

func TestFailedCallIsRetriedLater(t *testing.T) {
	g := NewWithT(t)
	r, store := newTestRegistrar()
	store.err = errors.New("no response")
	g.Expect(r.step(context.Background())).To(BeNumerically(">=", retryDelay))
	r.unregister()
	g.Expect(store.calls).To(Equal([]string{"register"}), "nothing was registered, so nothing is removed")
}

func TestIssueKeys(t *testing.T) {
	g := NewWithT(t)
	_, err := IssueKeys([]byte("short"), nil, testIdentity)
	g.Expect(err).To(MatchError(ContainSubstring("peer key")))
	sources, err := IssueKeys(NewPeerKey(), nil, testIdentity)
	g.Expect(err).NotTo(HaveOccurred())
	keys, err := peer.LoadTLS(sources)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(keys.Identity()).To(Equal(testIdentity))
	g.Expect(keys.NotAfter()).To(BeTemporally(">", time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)))
}

// TestRegistrationAfterARestore checks that a registration which the copy contains is kept,
// and that any other is made again without a call for its lease.
func TestRegistrationAfterARestore(t *testing.T) {
	tests := []struct {
		name  string
		found catalog.Position
		kept  bool
	}{
		{"in the copy", catalog.Position{Epoch: 1, Revision: 1}, true},
		{"an earlier one in the copy", catalog.Position{Epoch: 1, Revision: 9}, false},
		{"not in the copy", catalog.Position{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			r, store := newTestRegistrar()
			r.step(context.Background())
			delay, changed := r.handleRestored(Restored{Epoch: 1, Registered: test.found})
			g.Expect(changed).To(Equal(!test.kept))
			g.Expect(delay).To(BeNumerically("<", startupSpread))
			r.step(context.Background())
			want := "register"
			if test.kept {
				want = "renew"
				g.Expect(r.Lease().Registered).To(Equal(test.found))
			}
			g.Expect(store.calls).To(Equal([]string{"register", want}))
			_, changed = r.handleRestored(Restored{Epoch: 1})
			g.Expect(changed && test.kept).To(BeFalse(), "the same restore is handled once")
		})
	}
}
