package lag

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

const (
	// localLatency and remoteLatency are the times of a call within a data centre and
	// between two, one way.
	localLatency  = 500 * time.Microsecond
	remoteLatency = 8 * time.Millisecond
	// callBytes are the bytes of a call without its answer: arguments, headers, TLS and TCP/IP.
	callBytes = 150
)

var (
	errRefused  = errors.New("connection refused")
	errNotReady = errors.New("no complete catalog yet")
)

// peerSource is one host as a source of another. It implements feed.Source.
type peerSource struct{ from, to *simulatedHost }

func (s *peerSource) latency() time.Duration {
	if s.from.dataCentre == s.to.dataCentre {
		return localLatency
	}
	return remoteLatency
}

// request carries a call to the host and returns the fault that it meets there.
func (s *peerSource) request(ctx context.Context) (Fault, error) {
	sim := s.from.sim
	s.from.calls++
	sim.load.call(sim.now, s.from, s.to)
	fault := s.to.fault(s.to.serves)
	if fault == SilentOnce {
		fault = None
	}
	switch {
	case fault == Silent || s.from.fault(s.from.serves) == Cut || fault == Lossy && sim.random.Float64() < lossRate:
		return fault, sim.lose(ctx)
	case fault == Refusing:
		if err := sim.clock.waitUntil(ctx, sim.now.Add(s.latency())); err != nil {
			return fault, err
		}
		return fault, errRefused
	}
	s.to.served++
	if err := sim.travel(ctx, s.latency(), fault); err != nil {
		return fault, err
	}
	if fault == Starting {
		return fault, errNotReady
	}
	return fault, nil
}

func (s *peerSource) List(ctx context.Context, _ string, _ bool) (catalog.Page, error) {
	fault, err := s.request(ctx)
	if err != nil {
		return catalog.Page{}, err
	}
	page, ready := s.to.feed.Snapshot()
	if !ready {
		return catalog.Page{}, errNotReady
	}
	page.Changes = slices.Clone(page.Changes)
	s.count(&page)
	return page, s.from.sim.travel(ctx, s.latency(), fault)
}

func (s *peerSource) Watch(ctx context.Context, have catalog.Have, wait time.Duration) (catalog.Update, error) {
	fault, err := s.request(ctx)
	if err != nil {
		return catalog.Update{}, err
	}
	s.to.feed.NoteFollower(s.from.name, have)
	update, changed, known := s.to.feed.ChangesSince(have)
	if known && !update.HasNewChanges(have) {
		if err := s.hold(ctx, changed, wait); err != nil {
			return catalog.Update{}, err
		}
		update, _, known = s.to.feed.ChangesSince(have)
	}
	behind := have.Position.Epoch > update.Position.Epoch
	s.count(&update)
	if err := s.from.sim.travel(ctx, s.latency(), fault); err != nil {
		return catalog.Update{}, err
	}
	switch {
	case known:
		return update, nil
	case behind:
		return catalog.Update{}, feed.ErrBehind
	default:
		return catalog.Update{}, feed.ErrCompacted
	}
}

// hold waits until the host's feed has changed, or for the time wait. A call that is held
// when the fault of the host begins is lost with it.
func (s *peerSource) hold(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	sim := s.from.sim
	if changed != nil {
		s.to.changed = changed
		s.to.waiting = append(s.to.waiting, sim.current)
	}
	before := s.to.fault(s.to.serves)
	if err := sim.clock.waitUntil(ctx, sim.now.Add(wait)); err != nil {
		return err
	}
	if after := s.to.fault(s.to.serves); after != before {
		switch after {
		case Silent, SilentOnce:
			return sim.lose(ctx)
		case Refusing, Starting:
			return errRefused
		}
	}
	return nil
}

// count counts the bytes of a call with the answer.
func (s *peerSource) count(answer any) {
	load := &s.from.sim.load
	if !s.from.sim.options.MeasureBytes || !load.counting(s.from.sim.now) {
		return
	}
	packed, err := gobpack.Pack(answer)
	if err != nil {
		panic(err) // all answers can be encoded
	}
	load.bytes += int64(len(packed) + callBytes)
	if s.from.dataCentre != s.to.dataCentre {
		load.remoteBytes += int64(len(packed) + callBytes)
	}
}
