package consul

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

// Metadata keys of the catalog entry of an entry host, and the values of MetaState.
const (
	MetaHost           = "oatlatch-host"
	MetaDataCentre     = "oatlatch-data-centre"
	MetaRegion         = "oatlatch-region"
	MetaPacketAddress  = "oatlatch-packet-address"
	MetaRequestAddress = "oatlatch-request-address"
	// MetaState is the key of the host's state. A host is live unless its state is
	// StateLeaving.
	MetaState    = "oatlatch-state"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// KVPair is a key with its value in a response of the KV API.
type KVPair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
}

// CatalogEntry is a service instance in a response of the catalog API.
type CatalogEntry struct {
	ServiceAddress string
	ServicePort    uint16
	ServiceMeta    map[string]string
}

// Get reads one key with the store's strongest consistency.
func (c *HTTPClient) Get(ctx context.Context, key string) (Value, error) {
	resp, err := c.read(ctx, request{
		call: "get", method: http.MethodGet, key: key,
		path: kvPath(key, "consistent"), timeout: c.options.Timeout,
	})
	if err != nil {
		return Value{}, err
	}
	return c.decodeValue("get", key, resp)
}

// Watch waits until the key has changed since the index, or until Options.WatchWait
// ends. It makes a single attempt, because its caller decides when to retry.
func (c *HTTPClient) Watch(ctx context.Context, key string, index uint64) (Value, error) {
	wait := c.options.WatchWait
	r := request{
		call: "watch", method: http.MethodGet, key: key,
		path: kvPath(key, fmt.Sprintf("index=%d&wait=%ds", index, max(1, int(wait/time.Second)))),
		// The platform extends the wait time by up to a sixteenth.
		timeout: wait + wait/16 + watchGrace,
	}
	if index == 0 {
		r.path, r.timeout = kvPath(key, "consistent"), c.options.Timeout
	}
	resp, err := c.do(ctx, r)
	if err == nil && resp.status != http.StatusOK && resp.status != http.StatusNotFound {
		err = &statusError{resp.status, strings.TrimSpace(string(resp.body))}
	}
	if err != nil {
		c.nextServer()
		return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
	}
	return c.decodeValue("watch", key, resp)
}

// List reads all keys with the prefix, sorted by key.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Value, error) {
	resp, err := c.read(ctx, request{
		call: "list", method: http.MethodGet, key: prefix,
		path: kvPath(prefix, "recurse=true&consistent"), timeout: c.options.Timeout,
	})
	if err != nil || resp.status == http.StatusNotFound {
		return nil, err
	}
	var pairs []KVPair
	if err := json.Unmarshal(resp.body, &pairs); err != nil {
		return nil, &UnavailableError{Call: "list", Key: prefix, Err: err}
	}
	values := make([]Value, 0, len(pairs))
	for _, pair := range pairs {
		values = append(values, Value{Key: pair.Key, Data: pair.Value, Revision: pair.ModifyIndex})
	}
	slices.SortFunc(values, func(a, b Value) int { return strings.Compare(a.Key, b.Key) })
	return values, nil
}

// Keys returns the names of the keys with the prefix, sorted. Unlike Get and List, it
// does not ask for a consistent read.
func (c *HTTPClient) Keys(ctx context.Context, prefix string) ([]string, error) {
	resp, err := c.read(ctx, request{
		call: "keys", method: http.MethodGet, key: prefix,
		path: kvPath(prefix, "keys=true"), timeout: c.options.Timeout,
	})
	if err != nil || resp.status == http.StatusNotFound {
		return nil, err
	}
	var keys []string
	if err := json.Unmarshal(resp.body, &keys); err != nil {
		return nil, &UnavailableError{Call: "keys", Key: prefix, Err: err}
	}
	slices.Sort(keys)
	return keys, nil
}

// CompareAndSwap writes the key if it still has the given revision, or if it is absent
// and the revision is zero.
func (c *HTTPClient) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error) {
	if len(data) > MaxValueBytes {
		return false, &TooLargeError{Key: key, Bytes: len(data)}
	}
	return c.write(ctx, request{
		call: "cas", method: http.MethodPut, key: key, body: data,
		path: kvPath(key, fmt.Sprintf("cas=%d", revision)), timeout: c.options.Timeout,
	})
}

// Delete removes the key if it still has the given revision.
func (c *HTTPClient) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return c.write(ctx, request{
		call: "delete", method: http.MethodDelete, key: key,
		path: kvPath(key, fmt.Sprintf("cas=%d", revision)), timeout: c.options.Timeout,
	})
}

// Hosts reads the host list from the catalog.
func (c *HTTPClient) Hosts(ctx context.Context) (HostList, error) {
	name := c.options.ServiceName
	resp, err := c.read(ctx, request{
		call: "hosts", method: http.MethodGet, key: name,
		path: "/v1/catalog/service/" + url.PathEscape(name), timeout: c.options.Timeout,
	})
	if err != nil || resp.status == http.StatusNotFound {
		return HostList{}, err
	}
	var entries []CatalogEntry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return HostList{}, &UnavailableError{Call: "hosts", Key: name, Err: err}
	}
	return splitHosts(entries), nil
}

// splitHosts sorts the entry hosts into live and leaving ones, and skips entries that
// do not describe an entry host.
func splitHosts(entries []CatalogEntry) HostList {
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

// host returns the entry host that the entry describes, or false if the entry has no
// host ID or no valid address. Its packet and request addresses are left zero if they
// are invalid.
func (e CatalogEntry) host() (host.Host, bool) {
	addr, err := netip.ParseAddr(e.ServiceAddress)
	id := e.ServiceMeta[MetaHost]
	if err != nil || id == "" {
		return host.Host{}, false
	}
	packetAddress, _ := netip.ParseAddrPort(e.ServiceMeta[MetaPacketAddress])
	requestAddress, _ := netip.ParseAddrPort(e.ServiceMeta[MetaRequestAddress])
	return host.Host{
		ID:             host.ID(id),
		DataCentre:     e.ServiceMeta[MetaDataCentre],
		Region:         e.ServiceMeta[MetaRegion],
		PeerAddress:    netip.AddrPortFrom(addr, e.ServicePort),
		PacketAddress:  packetAddress,
		RequestAddress: requestAddress,
	}, true
}

// NewCatalogEntry returns the catalog entry of an entry host.
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

// decodeValue returns the value in the response to a read of a single key.
func (c *HTTPClient) decodeValue(call, key string, resp response) (Value, error) {
	index, err := strconv.ParseUint(resp.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: fmt.Errorf("no valid X-Consul-Index header in the response: %w", err)}
	}
	value := Value{Key: key, Index: index}
	if resp.status == http.StatusNotFound {
		return value, nil
	}
	var pairs []KVPair
	if err := json.Unmarshal(resp.body, &pairs); err != nil {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: err}
	}
	if len(pairs) != 1 {
		return Value{}, &UnavailableError{Call: call, Key: key, Err: fmt.Errorf("response contains %d keys, want one", len(pairs))}
	}
	value.Data = pairs[0].Value
	value.Revision = pairs[0].ModifyIndex
	return value, nil
}

// kvPath returns the path and query of a request to the KV API.
func kvPath(key, query string) string {
	return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() + "?" + query
}
