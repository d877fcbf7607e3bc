package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// storePageItems and storePageBytes limit a page of a range.
	storePageItems = 500
	storePageBytes = 1 << 20
	// storeHistory is how long the store keeps its history.
	storeHistory = 20 * time.Second
)

// storeItem is a key with its value, or the removal of a key.
type storeItem struct {
	Key       string    `json:"key"`
	Value     []byte    `json:"value,omitempty"`
	Revision  uint64    `json:"revision"`
	Created   uint64    `json:"create_revision,omitempty"`
	Lease     uint64    `json:"lease"`
	Tombstone bool      `json:"tombstone,omitempty"`
	At        time.Time `json:"-"`
}

// storeLease is a lease with its keys' common end.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store stands in for the platform's store.
type store struct {
	server  *http.Server
	address netip.AddrPort

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	leases    map[uint64]*storeLease
	nextLease uint64
}

// newStore starts a store at the address.
func newStore(address netip.AddrPort) (*store, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &store{address: address, revision: 100, items: make(map[string]storeItem), changed: make(chan struct{}), leases: make(map[uint64]*storeLease), nextLease: 77000}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		s.mu.Lock()
		s.expireLocked(time.Now())
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a value, as operators and targets do, and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(key, encoded, 0)
	return time.Now()
}

func (s *store) writeLocked(key string, value []byte, lease uint64) {
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, At: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.appendLocked(it)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendLocked(storeItem{Key: key, Revision: s.revision, Tombstone: true, At: time.Now()})
}

func (s *store) appendLocked(it storeItem) {
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].At) > storeHistory {
		s.forgotten = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLocked(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *store) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_revision": it.Created, "lease": it.Lease, "at": at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	at := s.revision
	found := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < storePageItems && (n == 0 || size+len(found[n].Value) <= storePageBytes) {
		size += len(found[n].Value)
		n++
	}
	respond(w, http.StatusOK, map[string]any{"items": found[:n], "truncated": n < len(found), "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, gone, changed := s.revision, after < s.forgotten || after > s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, c := range body.Precondition {
		it, ok := s.items[c.Key]
		holds = holds && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range body.Writes {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, it := range body.Writes {
		s.writeLocked(it.Key, it.Value, it.Lease)
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	l := &storeLease{ttl: time.Duration(body.TTL) * time.Millisecond}
	l.ends = time.Now().Add(l.ttl)
	s.leases[s.nextLease] = l
	respond(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeaseLocked(id)
	respond(w, http.StatusOK, map[string]any{})
}

// respond writes a JSON response. A failed write means that the caller has gone.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
