package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// operationKind is the kind of an operation on a request in a recorded history.
type operationKind uint8

const (
	// opIssued is the issue of the request's ticket.
	opIssued operationKind = iota
	// opRan is a run at an upstream.
	opRan
	// opSent is an attempt by the caller. Its output is the outcome reported to the caller.
	opSent
)

// operationInput identifies an operation in a history: the request and the kind.
type operationInput struct {
	id   string
	kind operationKind
}

// requestState is the state of one request in the model.
type requestState struct {
	issued         bool
	ran            bool
	reportedNotRun bool
}

// requestModel is the specification of a request: it runs at most once, and only after its
// ticket was issued; "answered" is reported only after the run, and "not-run" only if it has
// not run and never runs later. Requests are checked independently of each other.
var requestModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(operationInput).id
			parts[id] = append(parts[id], o)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return requestState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(requestState)
		switch input.(operationInput).kind {
		case opIssued:
			return !s.issued, requestState{issued: true}
		case opRan:
			return s.issued && !s.ran && !s.reportedNotRun, requestState{issued: true, ran: true}
		}
		switch output.(string) {
		case "answered":
			return s.ran, s
		case "not-run":
			return !s.ran, requestState{issued: true, reportedNotRun: true}
		default:
			return true, s
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %v", input, output) },
}

func TestRequestModelRejectsForbiddenHistories(t *testing.T) {
	issue, send, run := operationInput{id: "r", kind: opIssued}, operationInput{id: "r", kind: opSent}, operationInput{id: "r", kind: opRan}
	forbidden := map[string][]porcupine.Operation{
		"run without issue": {{Input: run, Call: 1, Return: 2}},
		"two runs":          {{Input: run, Call: 1, Return: 2}, {Input: run, Call: 3, Return: 4}},
		"run after not-run": {{Input: send, Output: "not-run", Call: 1, Return: 2}, {Input: run, Call: 3, Return: 4}},
		"answered, not run": {{Input: send, Output: "answered", Call: 1, Return: 2}},
		"not-run after run": {{Input: run, Call: 1, Return: 2}, {Input: send, Output: "not-run", Call: 3, Return: 4}},
	}
	for name, history := range forbidden {
		if name != "run without issue" {
			history = append([]porcupine.Operation{{Input: issue, Call: 0, Return: 0}}, history...)
		}
		if porcupine.CheckOperations(requestModel, history) {
			t.Errorf("the model allows %s", name)
		}
	}
}

// recorder collects the operations of concurrent callers. corruptResponses counts the
// responses whose body was not the expected one.
type recorder struct {
	mu               sync.Mutex
	history          []porcupine.Operation
	outcomes         map[string]int
	corruptResponses int
}

func (r *recorder) add(o porcupine.Operation, label string, corrupt bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, o)
	r.outcomes[label]++
	if corrupt {
		r.corruptResponses++
	}
}

// historyCaller sends requests and repeats of them to random hosts, and records them.
type historyCaller struct {
	id       int
	cluster  *cluster
	recorder *recorder
	rand     *rand.Rand
	client   *http.Client
	// deadline is the value of the deadline header, in milliseconds.
	deadline string
}

// Deadlines of the requests in a history, in milliseconds. With faults a short deadline keeps
// the test short. Without faults the deadline is so long that only a stuck request reaches it.
const (
	deadlineWithFaults    = "400"
	deadlineWithoutFaults = "20000"
)

// send sends one non-idempotent request to a random host and records the reported outcome.
// It returns the outcome and the ticket in the response.
func (h *historyCaller) send(ticket, id string, timeout time.Duration) (outcome, newTicket string) {
	addresses := h.cluster.addresses()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := []byte("confirmed " + id)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addresses[h.rand.IntN(len(addresses))]+"/confirm", bytes.NewReader(body))
	request.Host = requestHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(dispatch.HeaderDeadline, h.deadline)
	if ticket != "" {
		request.Header.Set(dispatch.HeaderTicket, ticket)
	}
	call := time.Now().UnixNano()
	outcome, label, corrupt := "none", "", false
	resp, err := h.client.Do(request)
	switch {
	case ctx.Err() != nil:
		label = "none/gave-up"
	case errors.Is(err, syscall.ECONNREFUSED):
		label = "none/refused"
	case err != nil:
		label = "none/broken"
	}
	if err == nil {
		got, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			outcome, label = resp.Header.Get(dispatch.HeaderOutcome), outcomeOf(resp)
			newTicket = resp.Header.Get(dispatch.HeaderTicket)
			corrupt = outcome == "answered" && !bytes.Equal(got, upstream.ResponseBody(id, body, 0))
		}
	}
	if ticket != "" {
		h.recorder.add(porcupine.Operation{
			ClientId: h.id, Input: operationInput{id: id, kind: opSent}, Output: outcome, Call: call, Return: time.Now().UnixNano(),
		}, label, corrupt)
	}
	return outcome, newTicket
}

// download sends a GET request and checks that a response that arrives without an error is
// complete and belongs to the request.
func (h *historyCaller) download(id string) {
	addresses := h.cluster.addresses()
	size := h.rand.IntN(150_000)
	request, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/plan?bytes=%d", addresses[h.rand.IntN(len(addresses))], size), nil)
	request.Host = requestHost
	request.Header.Set("X-Request-Id", "plan-"+id)
	request.Header.Set(dispatch.HeaderDeadline, h.deadline)
	resp, err := h.client.Do(request)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && resp.Header.Get(dispatch.HeaderOutcome) == "answered" && !bytes.Equal(got, upstream.ResponseBody("plan-"+id, nil, size)) {
		h.recorder.mu.Lock()
		defer h.recorder.mu.Unlock()
		h.recorder.corruptResponses++
	}
}

// run sends requests, each under a ticket of its own. It repeats some requests, also after
// it gave up on an attempt that may still be in progress.
func (h *historyCaller) run(requests int, progress *atomic.Int64) {
	ticket := ""
	for i := 0; i < requests; {
		if ticket == "" {
			_, ticket = h.send("", "", 20*time.Second)
			continue
		}
		id := fmt.Sprintf("s%d-%d", h.id, i)
		used := ticket
		ticket = ""
		now := time.Now().UnixNano()
		h.recorder.add(porcupine.Operation{ClientId: h.id, Input: operationInput{id: id, kind: opIssued}, Output: "", Call: now, Return: now}, "issued", false)
		for repeat := 0; repeat < 4; repeat++ {
			timeout := 20 * time.Second
			if h.rand.IntN(6) == 0 {
				timeout = time.Duration(1+h.rand.IntN(4)) * time.Millisecond
			}
			outcome, newTicket := h.send(used, id, timeout)
			ticket = newTicket
			if (outcome == "answered" || outcome == "not-run") && h.rand.IntN(3) > 0 {
				break
			}
		}
		if i%4 == 0 {
			h.download(id)
		}
		i++
		progress.Add(1)
	}
}

// recordHistory runs callers against the cluster, calls disturb after every 20 requests, and
// returns the recorded history including the upstreams' runs.
func recordHistory(c *cluster, seed uint64, requests int, deadline string, disturb func(r *rand.Rand)) *recorder {
	r := &recorder{outcomes: make(map[string]int)}
	var progress atomic.Int64
	var callers sync.WaitGroup
	done := make(chan struct{})
	for i := range 8 {
		transport := &http.Transport{}
		c.t.Cleanup(transport.CloseIdleConnections)
		caller := &historyCaller{id: i, cluster: c, recorder: r, rand: rand.New(rand.NewPCG(seed, uint64(i))), client: &http.Client{Transport: transport}, deadline: deadline}
		callers.Go(func() { caller.run(requests, &progress) })
	}
	go func() { callers.Wait(); close(done) }()
	random := rand.New(rand.NewPCG(seed, 99))
	for threshold := int64(20); ; threshold += 20 {
		if !awaitProgress(&progress, threshold, done) {
			break
		}
		if disturb != nil {
			disturb(random)
		}
	}
	for i, u := range c.upstreams {
		for _, run := range u.Runs() {
			if run.Method == http.MethodGet {
				continue
			}
			r.history = append(r.history, porcupine.Operation{
				ClientId: 8 + i, Input: operationInput{id: run.RequestID, kind: opRan}, Output: "",
				Call: run.Started.UnixNano(), Return: run.Started.UnixNano(),
			})
		}
	}
	return r
}

// awaitProgress waits until the callers have finished threshold requests. It returns false if
// they are done before.
func awaitProgress(progress *atomic.Int64, threshold int64, done <-chan struct{}) bool {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for progress.Load() < threshold {
		select {
		case <-done:
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (r *recorder) check(t *testing.T) {
	t.Helper()
	if result := porcupine.CheckOperations(requestModel, r.history); !result {
		t.Error("the history violates the request model")
	}
	if r.corruptResponses > 0 {
		t.Errorf("%d responses were incomplete or belonged to another request", r.corruptResponses)
	}
	t.Logf("%d operations, outcomes: %v", len(r.history), r.outcomes)
}

// injectFault injects or removes a random fault.
func (c *cluster) injectFault(r *rand.Rand) {
	id := host.ID(fmt.Sprintf("entry-%d", r.IntN(4)))
	other := host.ID(fmt.Sprintf("entry-%d", r.IntN(4)))
	u := c.upstreams[r.IntN(len(c.upstreams))]
	switch r.IntN(11) {
	case 0:
		c.kill(id)
		c.start(id)
	case 1:
		_, _ = c.stop(id) // Fails if the host is partitioned from all others and finds no successor.
		c.start(id)
	case 2, 3:
		c.setPartitioned(id, other, r.IntN(2) == 0)
	case 4:
		c.setLosesReplies(id, r.IntN(2) == 0)
	case 5:
		u.SetFaults(upstream.Faults{Shed: true})
	case 6:
		u.SetFaults(upstream.Faults{ResetAfterRequestBytes: 1 + r.IntN(300), ResetAfterResponseBytes: 0})
	case 7:
		u.SetFaults(upstream.Faults{ResetAfterResponseBytes: 1 + r.IntN(250)})
	case 8:
		u.SetFaults(upstream.Faults{ResponseDelay: time.Duration(r.IntN(20)) * time.Millisecond, MismatchedResponses: r.IntN(4) == 0})
	case 9:
		c.skewView(id, r)
	case 10:
		if r.IntN(2) == 0 {
			u.Drain()
		} else {
			u.Resume()
		}
	}
	if r.IntN(2) == 0 {
		c.upstreams[r.IntN(len(c.upstreams))].SetFaults(upstream.Faults{})
	}
}

func TestHistoriesUnderKillsPartitionsAndFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 4, upstreams: 4, slots: 3, serviceTime: time.Millisecond, coldStart: 30 * time.Millisecond})
			r := recordHistory(c, seed, 150, deadlineWithFaults, c.injectFault)
			r.check(t)
		})
	}
}

func TestNothingIsUnknownWithoutFaults(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 4, slots: 3, serviceTime: time.Millisecond})
	r := recordHistory(c, 4, 100, deadlineWithoutFaults, nil)
	r.check(t)
	for label, n := range r.outcomes {
		if bytes.HasPrefix([]byte(label), []byte("unknown")) {
			t.Errorf("%d requests ended with %s", n, label)
		}
	}
}

func TestRollingRestartsLeaveNothingUnknown(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 4, slots: 3, serviceTime: time.Millisecond})
	next := 0
	r := recordHistory(c, 5, 100, deadlineWithoutFaults, func(*rand.Rand) {
		id := host.ID(fmt.Sprintf("entry-%d", next%4))
		next++
		if _, err := c.stop(id); err != nil {
			t.Errorf("stop %s: %v", id, err)
		}
		c.start(id)
	})
	if n := r.outcomes["none/broken"]; n > 0 {
		t.Errorf("%d requests were aborted", n)
	}
	r.check(t)
	for label, n := range r.outcomes {
		if bytes.HasPrefix([]byte(label), []byte("unknown")) {
			t.Errorf("%d requests ended with %s", n, label)
		}
	}
}
