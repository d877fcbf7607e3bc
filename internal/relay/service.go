package relay

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// maxWait bounds how long a watch may be asked to wait.
const maxWait = 10 * time.Second

// Catalog is what a Service passes on.
type Catalog interface {
	// Snapshot returns everything, or false while it is incomplete.
	Snapshot() (catalog.Page, bool)
	// ChangesSince returns what changed for a host that has the given state and a channel
	// that is closed at the next change, or false when that state is too old.
	ChangesSince(have catalog.Have) (catalog.Update, <-chan struct{}, bool)
}

// Service is the net/rpc receiver that answers other hosts.
type Service struct {
	catalog Catalog
}

// NewService returns a receiver for the catalog.
func NewService(c Catalog) *Service { return &Service{catalog: c} }

// List answers with the whole catalog.
func (s *Service) List(_ ListArgs, reply *ListReply) error {
	page, ready := s.catalog.Snapshot()
	if !ready {
		return nil
	}
	var err error
	reply.Packed, err = pack(&page)
	reply.Ready = err == nil
	return err
}

// Watch answers with changes, as soon as there are any.
func (s *Service) Watch(args *WatchArgs, reply *WatchReply) error {
	update, changed, known := s.catalog.ChangesSince(args.Have)
	if known && !hasNews(&update, args.Have.Position) {
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
		return nil
	}
	var err error
	reply.Packed, err = pack(&update)
	reply.Known = err == nil
	return err
}

// hasNews reports whether the update has a change after the position; conclusions
// at the position itself may be repetitions.
func hasNews(update *catalog.Update, position uint64) bool {
	for i := range update.Changes {
		if update.Changes[i].Revision > position {
			return true
		}
	}
	return false
}
