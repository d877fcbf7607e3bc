package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Keys of a catalog entry's metadata that describe an entry host.
const (
	MetaHost           = "oatlatch-host"
	MetaDataCentre     = "oatlatch-data-centre"
	MetaRegion         = "oatlatch-region"
	MetaPacketAddress  = "oatlatch-packet-address"
	MetaRequestAddress = "oatlatch-request-address"
	// MetaState is StateLeaving for a host that is leaving and StateLive or absent otherwise.
	MetaState    = "oatlatch-state"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// KVPair is one key in an answer of the KV API.
type KVPair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
}

// CatalogEntry is one instance in an answer of the catalog API.
type CatalogEntry struct {
	ServiceAddress string
	ServicePort    uint16
	ServiceMeta    map[string]string
}

// Get reads one key with the store's strongest consistency.
func (h *HTTP) Get(ctx context.Context, key string) (Value, error) {
	got, err := h.read(ctx, request{
		call: "get", method: http.MethodGet, key: key,
		path: kvPath(key, "consistent"), deadline: h.options.Deadline,
	})
	if err != nil {
		return Value{}, err
	}
	return h.value("get", key, got)
}

// Watch waits until the key changes after the index or the wait time ends. It makes
// a single attempt: who watches decides when to try again.
func (h *HTTP) Watch(ctx context.Context, key string, index uint64) (Value, error) {
	wait := h.options.WatchWait
	r := request{
		call: "watch", method: http.MethodGet, key: key,
		path: kvPath(key, fmt.Sprintf("index=%d&wait=%ds", index, max(1, int(wait/time.Second)))),
		// The platform lengthens a wait by up to a sixteenth of it.
		deadline: wait + wait/16 + watchGrace,
	}
	if index == 0 {
		r.path, r.deadline = kvPath(key, "consistent"), h.options.Deadline
	}
	got, err := h.exchange(ctx, r)
	if err == nil && got.status != http.StatusOK && got.status != http.StatusNotFound {
		err = &statusError{got.status, strings.TrimSpace(string(got.body))}
	}
	if err != nil {
		h.nextServer()
		return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
	}
	return h.value("watch", key, got)
}

// List reads all keys under the prefix, sorted by key.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Value, error) {
	got, err := h.read(ctx, request{
		call: "list", method: http.MethodGet, key: prefix,
		path: kvPath(prefix, "recurse=true&consistent"), deadline: h.options.Deadline,
	})
	if err != nil || got.status == http.StatusNotFound {
		return nil, err
	}
	var pairs []KVPair
	if err := json.Unmarshal(got.body, &pairs); err != nil {
		return nil, &UnavailableError{Call: "list", Key: prefix, Err: err}
	}
	values := make([]Value, 0, len(pairs))
	for _, pair := range pairs {
		values = append(values, Value{Key: pair.Key, Data: pair.Value, Revision: pair.ModifyIndex})
	}
	slices.SortFunc(values, func(a, b Value) int { return strings.Compare(a.Key, b.Key) })
	return values, nil
}

// Keys lists the names of the keys under the prefix, sorted.
func (h *HTTP) Keys(ctx context.Context, prefix string) ([]string, error) {
	got, err := h.read(ctx, request{
		call: "keys", method: http.MethodGet, key: prefix,
		path: kvPath(prefix, "keys=true"), deadline: h.options.Deadline,
	})
	if err != nil || got.status == http.StatusNotFound {
		return nil, err
	}
	var keys []string
	if err := json.Unmarshal(got.body, &keys); err != nil {
		return nil, &UnavailableError{Call: "keys", Key: prefix, Err: err}
	}
	slices.Sort(keys)
	return keys, nil
}

// CompareAndSwap writes the key if its revision is still the given one.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error) {
	if len(data) > MaxValueBytes {
		return false, &TooLargeError{Key: key, Bytes: len(data)}
	}
	return h.write(ctx, request{
		call: "cas", method: http.MethodPut, key: key, body: data,
		path: kvPath(key, fmt.Sprintf("cas=%d", revision)), deadline: h.options.Deadline,
	})
}

// Delete removes the key if its revision is still the given one.
func (h *HTTP) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return h.write(ctx, request{
		call: "delete", method: http.MethodDelete, key: key,
		path: kvPath(key, fmt.Sprintf("cas=%d", revision)), deadline: h.options.Deadline,
	})
}

// Hosts reads the lagging host list from the catalog.
func (h *HTTP) Hosts(ctx context.Context) (HostList, error) {
	name := h.options.ServiceName
	got, err := h.read(ctx, request{
		call: "hosts", method: http.MethodGet, key: name,
		path: "/v1/catalog/service/" + url.PathEscape(name), deadline: h.options.Deadline,
	})
	if err != nil || got.status == http.StatusNotFound {
		return HostList{}, err
	}
	var entries []CatalogEntry
	if err := json.Unmarshal(got.body, &entries); err != nil {
		return HostList{}, &UnavailableError{Call: "hosts", Key: name, Err: err}
	}
	return hostList(entries), nil
}

func hostList(entries []CatalogEntry) HostList {
	var list HostList
	for _, entry := range entries {
		h, ok := entry.host()
		switch {
		case !ok:
		case entry.ServiceMeta[MetaState] == StateLeaving:
			list.Leaving = append(list.Leaving, h)
		default:
			list.Live = append(list.Live, h)
		}
	}
	return list
}

// host returns false for an entry that does not describe an entry host.
func (e CatalogEntry) host() (host.Host, bool) {
	addr, err := netip.ParseAddr(e.ServiceAddress)
	id := e.ServiceMeta[MetaHost]
	if err != nil || id == "" {
		return host.Host{}, false
	}
	packets, _ := netip.ParseAddrPort(e.ServiceMeta[MetaPacketAddress])
	requests, _ := netip.ParseAddrPort(e.ServiceMeta[MetaRequestAddress])
	return host.Host{
		ID:             host.ID(id),
		DataCentre:     e.ServiceMeta[MetaDataCentre],
		Region:         e.ServiceMeta[MetaRegion],
		PeerAddress:    netip.AddrPortFrom(addr, e.ServicePort),
		PacketAddress:  packets,
		RequestAddress: requests,
	}, true
}

// NewCatalogEntry describes an entry host to the catalog.
func NewCatalogEntry(h host.Host, leaving bool) CatalogEntry {
	state := StateLive
	if leaving {
		state = StateLeaving
	}
	return CatalogEntry{
		ServiceAddress: h.PeerAddress.Addr().String(),
		ServicePort:    h.PeerAddress.Port(),
		ServiceMeta: map[string]string{
			MetaHost:           string(h.ID),
			MetaDataCentre:     h.DataCentre,
			MetaRegion:         h.Region,
			MetaPacketAddress:  h.PacketAddress.String(),
			MetaRequestAddress: h.RequestAddress.String(),
			MetaState:          state,
		},
	}
}

func (h *HTTP) value(call, key string, got answer) (Value, error) {
	index, err := strconv.ParseUint(got.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: fmt.Errorf("answer without an index: %w", err)}
	}
	value := Value{Key: key, Index: index}
	if got.status == http.StatusNotFound {
		return value, nil
	}
	var pairs []KVPair
	if err := json.Unmarshal(got.body, &pairs); err != nil {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: err}
	}
	if len(pairs) != 1 {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: fmt.Errorf("answer holds %d keys instead of one", len(pairs))}
	}
	value.Data = pairs[0].Value
	value.Revision = pairs[0].ModifyIndex
	return value, nil
}

func kvPath(key, query string) string {
	return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() + "?" + query
}
