package forward

import (
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
)

// deliverTimeout is the maximum time that a message waits while the event queue is
// full.
const deliverTimeout = time.Second

// ErrBusy is returned when control events arrive faster than they are handled.
var ErrBusy = errors.New("control event queue full: the sender repeats the message; if this persists, give the host more CPU")

// Ack is the empty reply to a message.
type Ack struct{}

// Service is the net/rpc receiver for messages from one host.
type Service struct {
	forwarder *Forwarder
	from      host.ID
}

// Deliver queues a message for the engine and replies without waiting for the engine
// to handle it. If the engine answers the message, it sends the answer as a separate
// message.
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
