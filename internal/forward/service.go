package forward

import (
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
)

// deliverTimeout bounds how long a message waits for room in the queue.
const deliverTimeout = time.Second

// ErrBusy means that control events arrive faster than they are handled.
var ErrBusy = errors.New("flow control queue full: the sender repeats the message; if this persists, give the host more CPU")

// Ack is the empty answer to a message.
type Ack struct{}

// Service is the net/rpc receiver for messages of one host.
type Service struct {
	forwarder *Forwarder
	from      host.ID
}

// Deliver takes in a message. The answer, if any, is a message of its own.
func (s *Service) Deliver(m *flow.Message, _ *Ack) error {
	timer := time.NewTimer(deliverTimeout)
	defer timer.Stop()
	select {
	case s.forwarder.events <- flow.Received{From: s.from, Message: *m}:
		return nil
	case <-s.forwarder.stopped:
		return ErrStopped
	case <-timer.C:
		return ErrBusy
	}
}
