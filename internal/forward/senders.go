package forward

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
)

const (
	// sendQueue bounds the messages that wait for one host; the engine repeats those dropped.
	sendQueue = 128
	// callTimeout bounds one delivery.
	callTimeout = time.Second
	// deliverMethod is the net/rpc method that takes messages.
	deliverMethod = "Flow.Deliver"
)

// senders delivers messages in order to each host, one goroutine a host. Only
// the control goroutine calls send.
type senders struct {
	peers   peer.Caller
	logger  zerolog.Logger
	metrics *metrics
	queues  map[host.ID]chan flow.Message
	group   sync.WaitGroup
}

func newSenders(peers peer.Caller, logger zerolog.Logger, m *metrics) *senders {
	return &senders{peers: peers, logger: logger, metrics: m, queues: make(map[host.ID]chan flow.Message)}
}

// send queues a message. It drops the message when the queue is full, so that
// one slow host does not hold up the others.
func (s *senders) send(ctx context.Context, to host.ID, m flow.Message) {
	if s.peers == nil {
		return
	}
	queue, ok := s.queues[to]
	if !ok {
		queue = make(chan flow.Message, sendQueue)
		s.queues[to] = queue
		s.group.Go(func() { s.deliver(ctx, to, queue) })
	}
	select {
	case queue <- m:
	default:
		s.metrics.messages.WithLabelValues("dropped").Inc()
	}
}

func (s *senders) deliver(ctx context.Context, to host.ID, queue <-chan flow.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			s.call(ctx, to, &m)
		}
	}
}

func (s *senders) call(ctx context.Context, to host.ID, m *flow.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.peers.Call(ctx, to, deliverMethod, m, &Ack{}); err != nil {
		s.metrics.messages.WithLabelValues("failed").Inc()
		s.logger.Debug().Err(err).Str("host", string(to)).Uint8("kind", uint8(m.Kind)).Msg("flow_message_failed")
		return
	}
	s.metrics.messages.WithLabelValues("sent").Inc()
}

// wait returns when all deliveries have ended, which the end of their ctx causes.
func (s *senders) wait() {
	s.group.Wait()
}
