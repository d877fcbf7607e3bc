package membershiprunner

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// peerService is the net/rpc receiver for the exchanges of one peer.
type peerService struct {
	runner *Runner
	from   host.ID
}

// PeerService returns the net/rpc receiver for a peer. It must be registered as
// "Member".
func (r *Runner) PeerService(from host.ID) any {
	return &peerService{runner: r, from: from}
}

// Exchange passes the request to the state machine and returns its answer.
func (s *peerService) Exchange(request *membership.Message, answer *membership.Message) error {
	request.From = s.from
	done := make(chan struct{})
	accepted := s.runner.enqueue(func(now time.Time) {
		*answer = s.runner.node.HandleRequest(now, *request)
		close(done)
	})
	if !accepted {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-s.runner.stopped:
		return ErrStopped
	}
}
