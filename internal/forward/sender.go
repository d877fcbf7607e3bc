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
	// sendQueueSize is the maximum number of messages queued for a host. Further
	// messages are dropped; the engine resends requests that were not answered.
	sendQueueSize = 128
	// callTimeout is the time limit of one delivery.
	callTimeout = time.Second
	// deliverMethod is the net/rpc method that receives messages.
	deliverMethod = "Flow.Deliver"
)

// messageSender delivers messages to other hosts, in order for each host. Each host
// has its own queue and goroutine. send is not safe for concurrent use; only the
// control loop calls it.
type messageSender struct {
	peers   peer.Caller
	logger  zerolog.Logger
	metrics *metrics
	// queues holds the queue of each host to which a message was sent.
	queues map[host.ID]chan flow.Message
	// group holds the goroutines that run the queues.
	group sync.WaitGroup
}

func newMessageSender(peers peer.Caller, logger zerolog.Logger, m *metrics) *messageSender {
	return &messageSender{peers: peers, logger: logger, metrics: m, queues: make(map[host.ID]chan flow.Message)}
}

// send queues a message. It drops the message when the queue is full so that a
// slow host does not delay the others.
func (s *messageSender) send(ctx context.Context, to host.ID, m flow.Message) {
	if s.peers == nil {
		return
	}
	queue, ok := s.queues[to]
	if !ok {
		queue = make(chan flow.Message, sendQueueSize)
		s.queues[to] = queue
		s.group.Go(func() { s.runQueue(ctx, to, queue) })
	}
	select {
	case queue <- m:
	default:
		s.metrics.messages.WithLabelValues("dropped").Inc()
	}
}

// runQueue delivers the messages of a host's queue until ctx is cancelled.
func (s *messageSender) runQueue(ctx context.Context, to host.ID, queue <-chan flow.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			s.deliver(ctx, to, &m)
		}
	}
}

// deliver sends one message to the host by net/rpc and counts the outcome. It does
// not retry.
func (s *messageSender) deliver(ctx context.Context, to host.ID, m *flow.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.peers.Call(ctx, to, deliverMethod, m, &Ack{}); err != nil {
		s.metrics.messages.WithLabelValues("failed").Inc()
		s.logger.Debug().Err(err).Str("host", string(to)).Uint8("kind", uint8(m.Kind)).Msg("flow_message_failed")
		return
	}
	s.metrics.messages.WithLabelValues("sent").Inc()
}

// wait blocks until the goroutines of all queues have ended. They end when the ctx
// passed to send is cancelled.
func (s *messageSender) wait() {
	s.group.Wait()
}
