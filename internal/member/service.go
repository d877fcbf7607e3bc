package member

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// service answers exchanges of one peer.
type service struct {
	runner *Runner
	from   host.ID
}

// PeerService returns the net/rpc receiver for a peer; it is registered as "Member".
func (r *Runner) PeerService(from host.ID) any {
	return &service{runner: r, from: from}
}

// Exchange hands the request to the state machine and returns its answer.
func (s *service) Exchange(request *membership.Message, answer *membership.Message) error {
	request.From = s.from
	done := make(chan struct{})
	posted := s.runner.post(func(now time.Time) {
		*answer = s.runner.node.HandleRequest(now, *request)
		close(done)
	})
	if !posted {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-s.runner.stopped:
		return ErrStopped
	}
}
