package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/consul"
)

const (
	kvPrefix      = "/v1/kv/"
	catalogPrefix = "/v1/catalog/service/"
	// defaultWait is how long the platform holds a blocking query that gives no
	// wait parameter.
	defaultWait = 5 * time.Minute
	indexHeader = "X-Consul-Index"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kvPrefix, s.handleGet)
	mux.HandleFunc("PUT "+kvPrefix, s.handlePut)
	mux.HandleFunc("DELETE "+kvPrefix, s.handleDelete)
	mux.HandleFunc("GET "+catalogPrefix, s.handleCatalog)
	return mux
}

// handleGet reads a key, at once or as a blocking query, or lists the keys or the
// values under a prefix.
func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	key, query := strings.TrimPrefix(r.URL.Path, kvPrefix), r.URL.Query()
	switch {
	case query.Has("keys"):
		s.serveKeys(w, r, key)
	case query.Has("recurse"):
		s.serveList(w, r, key)
	case query.Get("index") != "" && query.Get("index") != "0":
		s.serveBlockingQuery(w, r, key)
	default:
		value, err := s.client.Get(r.Context(), key)
		s.writeValue(w, value, err)
	}
}

// serveBlockingQuery returns the key once it changes after the index in the
// request, or when the wait ends.
func (s *Server) serveBlockingQuery(w http.ResponseWriter, r *http.Request, key string) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "invalid index", http.StatusBadRequest)
		return
	}
	wait := defaultWait
	if text := r.URL.Query().Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			http.Error(w, "invalid wait", http.StatusBadRequest)
			return
		}
	}
	value, err := s.client.WatchFor(r.Context(), key, index, wait)
	s.writeValue(w, value, err)
}

func (s *Server) serveKeys(w http.ResponseWriter, r *http.Request, prefix string) {
	keys, err := s.client.Keys(r.Context(), prefix)
	abortOnError(err)
	w.Header().Set(indexHeader, "1")
	if len(keys) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, keys)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request, prefix string) {
	values, err := s.client.List(r.Context(), prefix)
	abortOnError(err)
	w.Header().Set(indexHeader, "1")
	if len(values) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]consul.KVPair, 0, len(values))
	for _, value := range values {
		pairs = append(pairs, consul.KVPair{Key: value.Key, Value: value.Data, ModifyIndex: value.Revision})
	}
	writeJSON(w, pairs)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	revision, ok := parseCASIndex(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, consul.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	written, err := s.client.CompareAndSwap(r.Context(), strings.TrimPrefix(r.URL.Path, kvPrefix), data, revision)
	abortOnError(err)
	writeJSON(w, written)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	revision, ok := parseCASIndex(w, r)
	if !ok {
		return
	}
	removed, err := s.client.Delete(r.Context(), strings.TrimPrefix(r.URL.Path, kvPrefix), revision)
	abortOnError(err)
	writeJSON(w, removed)
}

func (s *Server) handleCatalog(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.client.Hosts(r.Context())
	abortOnError(err)
	entries := make([]consul.CatalogEntry, 0, len(hosts.Live)+len(hosts.Leaving))
	for _, h := range hosts.Live {
		entries = append(entries, consul.NewCatalogEntry(h, false))
	}
	for _, h := range hosts.Leaving {
		entries = append(entries, consul.NewCatalogEntry(h, true))
	}
	w.Header().Set(indexHeader, "1")
	writeJSON(w, entries)
}

// parseCASIndex returns the cas parameter. Writes without it are rejected: the load
// balancer writes only with compare-and-swap, so such a write is a bug in its client.
func parseCASIndex(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "the stand-in accepts only writes with cas", http.StatusBadRequest)
		return 0, false
	}
	return revision, true
}

func (s *Server) writeValue(w http.ResponseWriter, value consul.Value, err error) {
	abortOnError(err)
	w.Header().Set(indexHeader, strconv.FormatUint(value.Index, 10))
	if !value.Exists() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []consul.KVPair{{Key: value.Key, Value: value.Data, ModifyIndex: value.Revision}})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// abortOnError closes the connection without a response if err is set. The client
// sees the same when the platform is down or the response is lost.
func abortOnError(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
