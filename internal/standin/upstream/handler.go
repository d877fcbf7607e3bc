package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// maxBodyBytes is the length at which request bodies are cut off.
	maxBodyBytes = 16 << 20
	// maxResponseBytes is the largest size that a request can set with the query
	// parameter bytes.
	maxResponseBytes = 64 << 20
)

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case u.options.LoadPath:
		u.serveLoad(w)
	case u.options.HealthPath:
		u.serveHealth(w)
	default:
		u.serveRequest(w, r)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	report := health.Report{
		Load:        float64(u.inFlight) / float64(u.options.Upstream.Slots),
		SlotsInUse:  uint32(len(u.slots)),
		Connections: uint32(u.openFlows),
		Draining:    u.draining,
	}
	if u.faults.OverrideLoad {
		report.Load = u.faults.ReportedLoad
	}
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	unhealthy := u.draining || u.faults.Unhealthy
	u.mu.Unlock()
	if unhealthy {
		http.Error(w, "draining or unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// serveRequest runs the request in a slot and responds, or responds that it did not
// run.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	run, err := u.runInSlot(ctx, r)
	switch {
	case run == nil:
		writeShed(w)
	case err != nil:
		http.Error(w, "deadline passed or request cancelled", http.StatusGatewayTimeout)
	default:
		u.respond(w, r, run, body)
	}
}

// runInSlot waits for a slot and runs the request in it. It returns a nil run if the
// request did not run: it was shed, or its deadline passed before a slot was free.
func (u *Upstream) runInSlot(ctx context.Context, r *http.Request) (*Run, error) {
	if !u.admit() {
		return nil, nil
	}
	defer u.release()
	if !u.acquireSlot(ctx) {
		return nil, nil
	}
	defer func() { <-u.slots }()
	run := u.recordStart(r)
	err := wait.Sleep(ctx, u.serviceTime(r))
	u.recordEnd(run, err != nil)
	return run, err
}

// writeShed responds to a request that did not run. The outcome header tells the host
// that it may send the request to another upstream.
func writeShed(w http.ResponseWriter) {
	w.Header().Set("Oatlatch-Outcome", "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusTooManyRequests)
}

// admit adds the request to those in flight. It returns false if the request is shed
// because the stand-in drains, its slots and queue are full, or a fault is set.
func (u *Upstream) admit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	full := u.inFlight >= int(u.options.Upstream.Slots)+u.options.QueueLimit
	if u.draining || u.faults.Shed || full {
		u.shedCount++
		u.peakInFlight = max(u.peakInFlight, u.inFlight+1)
		return false
	}
	u.inFlight++
	u.peakInFlight = max(u.peakInFlight, u.inFlight)
	return true
}

// release removes a request from those in flight.
func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// acquireSlot waits for a slot; it returns false if ctx ends first.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// withDeadline returns the context of the request, limited by its deadline header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Oatlatch-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// respond sends the response to a finished run, subject to the faults set.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, run *Run, body []byte) {
	faults := u.currentFaults()
	if wait.Sleep(r.Context(), faults.ResponseDelay) != nil {
		return
	}
	response := ResponseBody(run.RequestID, body, responseSize(r))
	responseID := r.Header.Get("Oatlatch-Request-Id")
	if faults.MismatchedResponses {
		responseID, response = "another-request", ResponseBody("another-request", nil, responseSize(r))
	}
	if responseID != "" {
		w.Header().Set("Oatlatch-Request-Id", responseID)
	}
	if faults.CloseDelimited {
		writeCloseDelimited(w, response)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response)
}

// recordStart adds the request to the runs.
func (u *Upstream) recordStart(r *http.Request) *Run {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = r.Header.Get("Oatlatch-Request-Id")
	}
	run := &Run{
		RequestID:    id,
		Method:       r.Method,
		Path:         r.URL.Path,
		Started:      u.options.Now(),
		PastDeadline: r.Header.Get("Oatlatch-Deadline-Ms") == "0",
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	return run
}

// recordEnd marks the run as finished.
func (u *Upstream) recordEnd(run *Run, cancelled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run.Finished = u.options.Now()
	run.Cancelled = cancelled
}

// serviceTime returns how long the request runs. During a cold start the time is
// multiplied by a factor that falls linearly from ColdFactor to 1.
func (u *Upstream) serviceTime(r *http.Request) time.Duration {
	base := u.options.ServiceTime
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("work_ms"), 64); err == nil {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	elapsed := float64(u.options.Now().Sub(u.started)) / float64(max(1, u.options.ColdStart))
	if elapsed >= 1 {
		return base
	}
	return time.Duration(float64(base) * (1 + (u.options.ColdFactor-1)*(1-elapsed)))
}

// responseSize returns the number of filler bytes that the request asks for.
func responseSize(r *http.Request) int {
	n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	return min(max(0, n), maxResponseBytes)
}

// ResponseBody returns the body of the response to a request: a line with the ID of the
// request and the hash of its body, followed by size pseudo-random bytes that are
// derived from the request ID. Tests and the demo compare it with the body that a
// caller received.
func ResponseBody(requestID string, body []byte, size int) []byte {
	response := fmt.Appendf(nil, "request %s body %x\n", requestID, sha256.Sum256(body))
	generator := rand.NewChaCha8(sha256.Sum256([]byte(requestID)))
	filler := make([]byte, size)
	_, _ = generator.Read(filler)
	return append(response, filler...)
}

// writeCloseDelimited sends a response whose end is marked only by the close of the
// connection. It hijacks the connection because net/http would add a length or
// chunked encoding.
func writeCloseDelimited(w http.ResponseWriter, response []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buffered.Write(response)
	_ = buffered.Flush()
}
