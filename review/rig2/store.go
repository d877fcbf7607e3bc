package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePage is the number of items on a page of the store.
const storePage = 500

// item is a key of the store with its value, or a change of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"create_revision,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]*lease
	// logf records what the store does.
	logf func(format string, args ...any)
}

func newStore(address string, logf func(string, ...any)) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 100, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, logf: logf}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expireLocked()
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }() // returns after Close
	return s, nil
}

// put writes a key as the operator or a target does.
func (s *store) put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, encoded, 0)
	return nil
}

// remove removes a key as the operator or a target does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) putLocked(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wakeLocked()
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLocked ends the leases that have run out.
func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLocked(id)
		}
	}
}

func (s *store) endLocked(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At uint64 `json:"at"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > storePage
	answer(w, map[string]any{"items": items[:min(len(items), storePage)], "truncated": truncated, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		events, changed, at := []item{}, s.changed, s.revision
		for _, it := range s.history {
			if it.Revision > from && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, p := range body.Precondition {
		it, ok := s.items[p.Key]
		holds = holds && it.Revision == p.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"items": current})
		return
	}
	for _, it := range body.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, it := range body.Writes {
		s.putLocked(it.Key, it.Value, it.Lease)
		if strings.HasPrefix(it.Key, "oatlatch/warmup/") {
			s.logf("store: %s = %q", it.Key, it.Value)
		}
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 || body.TTL > 600_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l := &lease{ttl: time.Duration(body.TTL) * time.Millisecond}
	l.ends = time.Now().Add(l.ttl)
	s.leases[s.revision] = l
	answer(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLocked(id)
	answer(w, map[string]any{})
}

func answer(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value) // an error means that the client has gone
}
