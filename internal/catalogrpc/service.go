package catalogrpc

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gobpack"
	"github.com/oatlatch/oatlatch/internal/host"
)

// maxWait is the maximum time that a watch waits, even if WatchArgs.Wait is longer.
const maxWait = 10 * time.Second

// CatalogProvider provides the contents that a Service serves.
type CatalogProvider interface {
	// Snapshot returns the whole catalog, or false while it is incomplete.
	Snapshot() (catalog.Page, bool)
	// ChangesSince returns the changes that a host with the given state lacks, and a
	// channel that is closed at the next change. It returns false if the host needs a
	// listing instead.
	ChangesSince(have catalog.Have) (catalog.Update, <-chan struct{}, bool)
	// Progress returns what the host knows, and a channel that is closed at the next change.
	// It returns false while the catalog is incomplete.
	Progress() (feed.PeerProgress, <-chan struct{}, bool)
	// NotePartner records the progress of a host that asks this one for its own.
	NotePartner(name string, known feed.PeerProgress)
	// NoteFollower records the state of a host that reads this one.
	NoteFollower(name string, have catalog.Have)
}

// Service is the net/rpc receiver that serves a catalog to another host.
type Service struct {
	catalog CatalogProvider
	// follower is the host that calls.
	follower host.ID
}

// NewService returns a service of the provider's catalog for the calls of the follower.
func NewService(provider CatalogProvider, follower host.ID) *Service {
	return &Service{catalog: provider, follower: follower}
}

// List returns the whole catalog.
func (s *Service) List(_ ListArgs, reply *ListReply) error {
	page, ready := s.catalog.Snapshot()
	if !ready {
		return nil
	}
	var err error
	reply.Packed, err = gobpack.Pack(&page)
	reply.Ready = err == nil
	return err
}

// Watch returns the changes after args.Have. If there are none, it waits for the next
// change for up to args.Wait, but at most for maxWait.
func (s *Service) Watch(args *WatchArgs, reply *WatchReply) error {
	s.catalog.NoteFollower(string(s.follower), args.Have)
	update, changed, known := s.catalog.ChangesSince(args.Have)
	if known && !update.HasNewChanges(args.Have) {
		timer := time.NewTimer(min(max(0, args.Wait), maxWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-args.ctx.Done():
			return args.ctx.Err()
		}
		update, _, known = s.catalog.ChangesSince(args.Have)
	}
	if !known {
		reply.Behind = args.Have.Position.Epoch > update.Position.Epoch
		return nil
	}
	var err error
	reply.Packed, err = gobpack.Pack(&update)
	reply.Known = err == nil
	return err
}

// Progress returns what this host knows. If that is nothing which the caller lacks, it waits
// for the next change for up to args.Wait, but at most for maxWait.
func (s *Service) Progress(args *ProgressArgs, reply *ProgressReply) error {
	s.catalog.NotePartner(string(s.follower), feed.PeerProgress{Progress: args.Own, Age: args.Age})
	known, changed, ready := s.catalog.Progress()
	if wait := min(args.Wait, maxWait); ready && wait > 0 && !args.Own.Lacks(known.Progress) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-args.ctx.Done():
			return args.ctx.Err()
		}
		known, _, ready = s.catalog.Progress()
	}
	reply.Ready, reply.Known = ready, known
	return nil
}
