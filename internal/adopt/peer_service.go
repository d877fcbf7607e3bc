package adopt

import (
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

const (
	// maxFetchBytes bounds a FetchReply unless a single page exceeds it.
	maxFetchBytes = 512 << 10
	// maxPullBytes bounds a head with the pages that come along.
	maxPullBytes = 64 << 10
	// maxFetchRefs bounds the pages that one call may ask for.
	maxFetchRefs = config.NumBuckets
)

// peerService answers one peer's calls.
type peerService struct {
	runner *Runner
	from   host.ID
}

// PeerService returns the net/rpc receiver, to be registered as "Config", for one
// authenticated peer.
func (r *Runner) PeerService(from host.ID) any { return &peerService{runner: r, from: from} }

// Pull answers with the head if it is higher than what the peer has.
func (s *peerService) Pull(args PullArgs, reply *PullReply) error {
	state := s.runner.state.Load()
	reply.Version = state.bundle.Version()
	reply.ConfirmedAge = state.confirmedAge(s.runner.options.Now())
	if reply.Version > args.Version {
		reply.Head = state.bundle.HeadData
		reply.Pages = state.bundle.PagesSince(args.Version, maxPullBytes-len(reply.Head))
	}
	s.runner.metrics.sent(len(reply.Head))
	for _, page := range reply.Pages {
		s.runner.metrics.sent(len(page.Data))
	}
	return nil
}

// Fetch answers with pages of the adopted configuration.
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
		s.runner.metrics.sent(len(page.Data))
	}
	return nil
}

// Notify takes a peer's notice. A notice that finds the queue full is dropped: the
// next pull finds the version.
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
