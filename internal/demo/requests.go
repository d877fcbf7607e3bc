package demo

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// requestResult is what a caller was told of one request.
type requestResult struct {
	id      string
	once    bool
	outcome callers.Outcome
	reason  string
	// wrong says that an answer was not the whole answer to this request.
	wrong bool
}

// requestLoad sends confirmations and downloads and records what callers are told.
type requestLoad struct {
	clients atomic.Pointer[map[string]*callers.Client]

	mu      sync.Mutex
	results []requestResult
}

// setHosts replaces the hosts that callers use.
func (l *requestLoad) setHosts(services []service.Service, hosts []string) {
	clients := make(map[string]*callers.Client)
	for _, s := range services {
		clients[s.Name] = callers.New(callers.Options{Hosts: hosts, RequestHost: s.RequestHost})
	}
	l.clients.Store(&clients)
}

// run sends requests to the services until ctx ends, and finishes those in progress.
func (l *requestLoad) run(ctx context.Context, services []service.Service) {
	var workers sync.WaitGroup
	for _, s := range services {
		for worker := range requestWorkers {
			workers.Go(func() { l.work(ctx, s.Name, worker) })
		}
	}
	workers.Wait()
}

func (l *requestLoad) work(ctx context.Context, name string, worker int) {
	for number := 0; wait.For(ctx, requestPause) == nil; number++ {
		id := fmt.Sprintf("%s-%d-%d", name, worker, number)
		// Each second worker confirms, the others download.
		if worker%2 == 0 {
			l.confirm(name, id)
		} else {
			l.download(name, id)
		}
	}
}

func (l *requestLoad) confirm(name, id string) {
	body := []byte("line handling confirmed " + id)
	l.send(name, id, callers.Request{Method: http.MethodPost, Path: "/confirmations", Body: body}, upstream.Answer(id, body, 0))
}

func (l *requestLoad) download(name, id string) {
	path := fmt.Sprintf("/downloads?bytes=%d", downloadBytes)
	l.send(name, id, callers.Request{Method: http.MethodGet, Path: path}, upstream.Answer(id, nil, downloadBytes))
}

func (l *requestLoad) send(name, id string, request callers.Request, want []byte) {
	request.Header = http.Header{"X-Request-Id": {id}}
	request.Deadline = requestDeadline
	client := (*l.clients.Load())[name]
	// A request in progress outlives the load, so that its outcome is known.
	answer, err := client.Do(context.Background(), request)
	result := requestResult{id: id, once: request.Method == http.MethodPost, outcome: answer.Outcome, reason: answer.Reason}
	if err == nil {
		result.wrong = answer.Status == http.StatusOK && !bytes.Equal(answer.Body, want)
		result.reason = http.StatusText(answer.Status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}
