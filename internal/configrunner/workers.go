package configrunner

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

// sendEvent queues an event for the event loop. It blocks while the queue is full.
func (r *Runner) sendEvent(ctx context.Context, event config.Event) {
	select {
	case <-ctx.Done():
	case r.events <- event:
	}
}

// readPlatform watches the head: it returns at once if the index is zero, and otherwise
// when the head changes.
func (r *Runner) readPlatform(ctx context.Context, read config.ReadPlatform) {
	value, err := r.options.Client.Watch(ctx, config.HeadKey, read.Index)
	if err != nil {
		r.sendEvent(ctx, config.PlatformReadFailed{Err: err})
		return
	}
	r.sendEvent(ctx, config.PlatformRead{Head: value.Data, Revision: value.Revision, Index: value.Index})
}

// call makes one call to a peer, with a longer deadline if the peer is in another region.
func (r *Runner) call(ctx context.Context, to host.ID, method string, args, reply any) error {
	deadline := r.options.PeerDeadline
	if slices.Contains(*r.otherRegionHosts.Load(), to) {
		deadline *= otherRegionDeadlineFactor
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	err := r.options.Peers.Call(ctx, to, method, args, reply)
	r.metrics.countCall(method, err)
	return err
}

// pull asks a peer for a newer configuration.
func (r *Runner) pull(ctx context.Context, pull config.Pull) {
	var reply PullReply
	if err := r.call(ctx, pull.Peer, methodPull, PullArgs{Version: pull.Version}, &reply); err != nil {
		r.sendEvent(ctx, config.PullFailed{Peer: pull.Peer, Err: err})
		return
	}
	r.sendEvent(ctx, config.Pulled{
		Peer: pull.Peer, Version: reply.Version, Head: reply.Head, Pages: reply.Pages,
		PlatformReadAge: reply.ConfirmedAge,
	})
}

// notify tells a peer which version this host has adopted.
func (r *Runner) notify(ctx context.Context, notify config.Notify) {
	var reply NotifyReply
	// A failure is harmless: the peer learns of the version with its next pull.
	_ = r.call(ctx, notify.Peer, methodNotify, NotifyArgs{Version: notify.Version}, &reply)
}

// fetch gets pages from a peer or from the platform.
func (r *Runner) fetch(ctx context.Context, fetch config.Fetch) {
	pages, err := r.fetchPages(ctx, fetch)
	if err != nil {
		r.sendEvent(ctx, config.FetchFailed{Source: fetch.Source, Err: err})
		return
	}
	r.sendEvent(ctx, config.Fetched{Source: fetch.Source, Pages: pages})
}

// fetchPages returns the pages from the source of the Fetch. A peer may send only some of them.
func (r *Runner) fetchPages(ctx context.Context, fetch config.Fetch) ([]config.PageData, error) {
	if fetch.Source == config.PlatformSource {
		return r.fetchFromPlatform(ctx, fetch.Refs)
	}
	var reply FetchReply
	err := r.call(ctx, fetch.Source.Peer, methodFetch, FetchArgs{Refs: fetch.Refs}, &reply)
	return reply.Pages, err
}

// fetchFromPlatform reads the pages one by one and fails if one of them does not exist.
func (r *Runner) fetchFromPlatform(ctx context.Context, refs []config.PageRef) ([]config.PageData, error) {
	var pages []config.PageData
	for _, ref := range refs {
		value, err := r.options.Client.Get(ctx, ref.Key())
		if err != nil {
			return nil, err
		}
		if !value.Exists() {
			return nil, fmt.Errorf("page %s does not exist on the platform", ref.Key())
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	return pages, nil
}

// errConfirmationConflict reports that another process wrote this host's confirmation
// between the read and the write.
var errConfirmationConflict = errors.New("another process with this host's ID wrote the confirmation at the same time")

// confirm stores this host's confirmation of a version on the platform.
func (r *Runner) confirm(ctx context.Context, confirm config.Confirm) {
	if err := r.storeConfirmation(ctx, confirm.Version); err != nil {
		r.logger.Warn().Str("event", "config_confirm_failed").Err(err).Send()
		r.sendEvent(ctx, config.ConfirmFailed{Err: err})
		return
	}
	r.sendEvent(ctx, config.Confirmed(confirm))
}

// storeConfirmation replaces this host's confirmation, provided that no other process writes it
// at the same time.
func (r *Runner) storeConfirmation(ctx context.Context, version config.Version) error {
	key := config.ConfirmationKey(r.options.Self.ID)
	stored, err := r.options.Client.Get(ctx, key)
	if err != nil {
		return err
	}
	data, err := config.EncodeConfirmation(config.Confirmation{
		Host: r.options.Self.ID, Incarnation: r.options.Self.Incarnation, Version: version, At: r.options.Now().UTC(),
	})
	if err != nil {
		return err
	}
	written, err := r.options.Client.CompareAndSwap(ctx, key, data, stored.Revision)
	if err == nil && !written {
		return errConfirmationConflict
	}
	return err
}
