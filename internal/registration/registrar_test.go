package registration

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
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

func (s *fakeStore) CreatePeerKey(context.Context, []byte) error { return s.record("key") }

func (s *fakeStore) Register(context.Context, catalog.Host, time.Duration) (Lease, error) {
	s.lease++
	return s.lease, s.record("register")
}

func (s *fakeStore) Renew(context.Context, Lease) error { return s.record("renew") }

func (s *fakeStore) Unregister(context.Context, Lease) error { return s.record("leave") }

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
	g.Expect(r.lease).To(BeEquivalentTo(2))
}

func TestFailedCallIsRetriedLater(t *testing.T) {
	g := NewWithT(t)
	r, store := newTestRegistrar()
	store.err = errors.New("no response")
	g.Expect(r.step(context.Background())).To(BeNumerically(">=", retryDelay))
	r.unregister()
	g.Expect(store.calls).To(Equal([]string{"register"}), "nothing was registered, so nothing is removed")
}

func TestIssueTLS(t *testing.T) {
	g := NewWithT(t)
	_, err := IssueTLS([]byte("short"), testIdentity)
	g.Expect(err).To(MatchError(ContainSubstring("peer key")))
	keys, err := IssueTLS(NewPeerKey(), testIdentity)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(keys.Identity()).To(Equal(testIdentity))
	g.Expect(keys.NotAfter()).To(BeTemporally(">", time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)))
}
