package configrunner

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

const (
	// maxFetchBytes bounds the pages of a FetchReply, unless the first one alone exceeds it.
	maxFetchBytes = 512 << 10
	// maxPullBytes bounds the head and the pages of a PullReply together. A larger head is
	// sent without pages.
	maxPullBytes = 64 << 10
	// maxFetchRefs bounds the pages that one call may ask for.
	maxFetchRefs = config.NumBuckets
)

// peerService is the RPC receiver for the calls of one peer.
type peerService struct {
	runner *Runner
	from   host.ID
}

// PeerService returns the net/rpc receiver, to be registered as "Config", for one
// authenticated peer.
func (r *Runner) PeerService(from host.ID) any { return &peerService{runner: r, from: from} }

// Pull replies with the adopted version, and with the head and recent pages if the
// peer's version is lower.
func (s *peerService) Pull(args PullArgs, reply *PullReply) error {
	state := s.runner.state.Load()
	reply.Version = state.bundle.Version()
	reply.ConfirmedAge = state.confirmedAge(s.runner.options.Now())
	if reply.Version > args.Version {
		reply.Head = state.bundle.HeadData
		reply.Pages = state.bundle.PagesSince(args.Version, maxPullBytes-len(reply.Head))
	}
	s.runner.metrics.countSentBytes(len(reply.Head))
	for _, page := range reply.Pages {
		s.runner.metrics.countSentBytes(len(page.Data))
	}
	return nil
}

// Fetch replies with the requested pages that the adopted configuration has.
func (s *peerService) Fetch(args FetchArgs, reply *FetchReply) error {
	bundle := s.runner.state.Load().bundle
	size := 0
	for _, ref := range args.Refs[:min(maxFetchRefs, len(args.Refs))] {
		page, ok := bundle.Page(ref)
		if !ok {
			continue
		}
		if size += len(page.Data); size > maxFetchBytes && len(reply.Pages) > 0 {
			break
		}
		reply.Pages = append(reply.Pages, page)
		s.runner.metrics.countSentBytes(len(page.Data))
	}
	return nil
}

// Notify queues a peer's announcement of its version. It is dropped if the queue is full:
// the next pull finds the version anyway.
func (s *peerService) Notify(args NotifyArgs, reply *NotifyReply) error {
	reply.Version = s.runner.state.Load().bundle.Version()
	if args.Version <= reply.Version {
		return nil
	}
	select {
	case s.runner.events <- config.PeerNotified{Peer: s.from, Version: args.Version}:
	default:
		s.runner.metrics.dropped.Inc()
	}
	return nil
}
