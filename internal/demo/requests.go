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

// requestResult is the result of one request as its caller received it.
type requestResult struct {
	id            string
	nonIdempotent bool
	outcome       callers.Outcome
	reason        string
	// wrongAnswer is set if the answer was incomplete or belonged to another request.
	wrongAnswer bool
}

// requestLoad sends requests to the entry hosts and records their results. Confirmations
// are POST requests and not idempotent, downloads are GET requests.
type requestLoad struct {
	// clients maps the name of each service to its client.
	clients atomic.Pointer[map[string]*callers.Client]

	mu      sync.Mutex
	results []requestResult
}

// setHosts sets the addresses of the hosts to which new requests are sent.
func (l *requestLoad) setHosts(services []service.Service, hosts []string) {
	clients := make(map[string]*callers.Client)
	for _, s := range services {
		clients[s.Name] = callers.New(callers.Options{Hosts: hosts, RequestHost: s.RequestHost})
	}
	l.clients.Store(&clients)
}

// run sends requests to the services until ctx ends and then waits for the requests in
// progress.
func (l *requestLoad) run(ctx context.Context, services []service.Service) {
	var workers sync.WaitGroup
	for _, s := range services {
		for worker := range workersPerService {
			workers.Go(func() { l.runWorker(ctx, s.Name, worker) })
		}
	}
	workers.Wait()
}

// runWorker sends requests one after another until ctx ends.
func (l *requestLoad) runWorker(ctx context.Context, serviceName string, worker int) {
	for number := 0; wait.Sleep(ctx, requestPause) == nil; number++ {
		id := fmt.Sprintf("%s-%d-%d", serviceName, worker, number)
		// Workers with an even number send confirmations, the others downloads.
		if worker%2 == 0 {
			l.sendConfirmation(serviceName, id)
		} else {
			l.sendDownload(serviceName, id)
		}
	}
}

func (l *requestLoad) sendConfirmation(serviceName, id string) {
	body := []byte("line handling confirmed " + id)
	l.send(serviceName, id, callers.Request{Method: http.MethodPost, Path: "/confirmations", Body: body}, upstream.ResponseBody(id, body, 0))
}

func (l *requestLoad) sendDownload(serviceName, id string) {
	path := fmt.Sprintf("/downloads?bytes=%d", downloadBytes)
	l.send(serviceName, id, callers.Request{Method: http.MethodGet, Path: path}, upstream.ResponseBody(id, nil, downloadBytes))
}

// send sends a request and records its result. A successful answer must have the body
// want, which depends on the ID of the request.
func (l *requestLoad) send(serviceName, id string, request callers.Request, want []byte) {
	request.Header = http.Header{"X-Request-Id": {id}}
	request.Deadline = requestDeadline
	client := (*l.clients.Load())[serviceName]
	// The end of the load does not cancel a request, so that its outcome becomes known.
	answer, err := client.Do(context.Background(), request)
	result := requestResult{id: id, nonIdempotent: request.Method == http.MethodPost, outcome: answer.Outcome, reason: answer.Reason}
	if err == nil {
		result.wrongAnswer = answer.Status == http.StatusOK && !bytes.Equal(answer.Body, want)
		result.reason = http.StatusText(answer.Status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}
