package catalogrpc

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

// ErrNotReady means that the host that was read has no complete catalog yet.
var ErrNotReady = errors.New("entry host has no complete catalog yet: read the store")

// Client makes calls to other hosts.
type Client interface {
	// CallAddress calls a method of the host at the address.
	CallAddress(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Source reads the catalog of another host. It implements feed.Source.
type Source struct {
	client  Client
	address netip.AddrPort
}

// NewSource returns a source that reads the host at the address.
func NewSource(client Client, address netip.AddrPort) *Source {
	return &Source{client: client, address: address}
}

// List implements feed.Source. It ignores the cursor and always returns the whole catalog
// as one page.
func (s *Source) List(ctx context.Context, _ string, _ bool) (catalog.Page, error) {
	var reply ListReply
	if err := s.client.CallAddress(ctx, s.address, ServiceName+".List", ListArgs{}, &reply); err != nil {
		return catalog.Page{}, err
	}
	if !reply.Ready {
		return catalog.Page{}, ErrNotReady
	}
	var page catalog.Page
	if err := gobpack.Unpack(reply.Packed, &page); err != nil {
		return catalog.Page{}, err
	}
	return page, nil
}

// Watch implements feed.Source. It returns feed.ErrCompacted if the other host cannot
// provide all changes after the given state, and feed.ErrBehind if it has not seen the last
// restore of the store.
func (s *Source) Watch(ctx context.Context, have catalog.Have, wait time.Duration) (catalog.Update, error) {
	var reply WatchReply
	args := &WatchArgs{Have: have, Wait: wait}
	if err := s.client.CallAddress(ctx, s.address, ServiceName+".Watch", args, &reply); err != nil {
		return catalog.Update{}, err
	}
	if reply.Behind {
		return catalog.Update{}, feed.ErrBehind
	}
	if !reply.Known {
		return catalog.Update{}, feed.ErrCompacted
	}
	var update catalog.Update
	if err := gobpack.Unpack(reply.Packed, &update); err != nil {
		return catalog.Update{}, err
	}
	return update, nil
}
