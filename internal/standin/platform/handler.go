package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/platform"
)

const (
	kvPrefix      = "/v1/kv/"
	catalogPrefix = "/v1/catalog/service/"
	// defaultWait is the platform's wait of a blocking query that names none.
	defaultWait = 5 * time.Minute
	indexHeader = "X-Consul-Index"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kvPrefix, s.read)
	mux.HandleFunc("PUT "+kvPrefix, s.put)
	mux.HandleFunc("DELETE "+kvPrefix, s.remove)
	mux.HandleFunc("GET "+catalogPrefix, s.catalog)
	return mux
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	key, query := strings.TrimPrefix(r.URL.Path, kvPrefix), r.URL.Query()
	switch {
	case query.Has("keys"):
		s.keys(w, r, key)
	case query.Has("recurse"):
		s.list(w, r, key)
	case query.Get("index") != "" && query.Get("index") != "0":
		s.watch(w, r, key)
	default:
		value, err := s.port.Get(r.Context(), key)
		s.writeValue(w, value, err)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string) {
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
	value, err := s.port.WatchFor(r.Context(), key, index, wait)
	s.writeValue(w, value, err)
}

func (s *Server) keys(w http.ResponseWriter, r *http.Request, prefix string) {
	keys, err := s.port.Keys(r.Context(), prefix)
	abortOn(err)
	w.Header().Set(indexHeader, "1")
	if len(keys) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, keys)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, prefix string) {
	values, err := s.port.List(r.Context(), prefix)
	abortOn(err)
	w.Header().Set(indexHeader, "1")
	if len(values) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]platform.KVPair, 0, len(values))
	for _, value := range values {
		pairs = append(pairs, platform.KVPair{Key: value.Key, Value: value.Data, ModifyIndex: value.Revision})
	}
	writeJSON(w, pairs)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	revision, ok := checkAndSet(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	written, err := s.port.CompareAndSwap(r.Context(), strings.TrimPrefix(r.URL.Path, kvPrefix), data, revision)
	abortOn(err)
	writeJSON(w, written)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, ok := checkAndSet(w, r)
	if !ok {
		return
	}
	removed, err := s.port.Delete(r.Context(), strings.TrimPrefix(r.URL.Path, kvPrefix), revision)
	abortOn(err)
	writeJSON(w, removed)
}

func (s *Server) catalog(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.port.Hosts(r.Context())
	abortOn(err)
	entries := make([]platform.CatalogEntry, 0, len(hosts.Live)+len(hosts.Leaving))
	for _, h := range hosts.Live {
		entries = append(entries, platform.NewCatalogEntry(h, false))
	}
	for _, h := range hosts.Leaving {
		entries = append(entries, platform.NewCatalogEntry(h, true))
	}
	w.Header().Set(indexHeader, "1")
	writeJSON(w, entries)
}

// checkAndSet requires the cas parameter, because nothing of the system writes without it.
func checkAndSet(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "the stand-in takes only writes with cas", http.StatusBadRequest)
		return 0, false
	}
	return revision, true
}

func (s *Server) writeValue(w http.ResponseWriter, value platform.Value, err error) {
	abortOn(err)
	w.Header().Set(indexHeader, strconv.FormatUint(value.Index, 10))
	if !value.Exists() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []platform.KVPair{{Key: value.Key, Value: value.Data, ModifyIndex: value.Revision}})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// abortOn closes the connection without an answer, as an outage or a lost answer does.
func abortOn(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
