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

// Limits of the stand-in.
const (
	maxBodyBytes   = 16 << 20
	maxAnswerBytes = 64 << 20
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
		Load:        float64(u.present) / float64(u.options.Upstream.Slots),
		SlotsInUse:  uint32(len(u.slots)),
		Connections: uint32(u.open),
		Draining:    u.draining,
	}
	if u.faults.HasFalseLoad {
		report.Load = u.faults.FalseLoad
	}
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	bad := u.draining || u.faults.Unhealthy
	u.mu.Unlock()
	if bad {
		http.Error(w, "draining or unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// serveRequest sheds the request, or waits for a slot and runs it.
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
		shed(w)
	case err != nil:
		http.Error(w, "deadline passed or request cancelled", http.StatusGatewayTimeout)
	default:
		u.answer(w, r, run, body)
	}
}

// runInSlot runs the request in a slot. The run is nil when it was shed.
func (u *Upstream) runInSlot(ctx context.Context, r *http.Request) (*Run, error) {
	if !u.enter() {
		return nil, nil
	}
	defer u.leave()
	if !u.takeSlot(ctx) {
		return nil, nil
	}
	defer func() { <-u.slots }()
	run := u.begin(r)
	err := wait.For(ctx, u.work(r))
	u.finish(run, err != nil)
	return run, err
}

// shed refuses a request before it runs, in the documented way.
func shed(w http.ResponseWriter) {
	w.Header().Set("Oatlatch-Outcome", "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusTooManyRequests)
}

// enter counts the request in unless it must be shed.
func (u *Upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	full := u.present >= int(u.options.Upstream.Slots)+u.options.QueueLimit
	if u.draining || u.faults.Shed || full {
		u.shed++
		u.peak = max(u.peak, u.present+1)
		return false
	}
	u.present++
	u.peak = max(u.peak, u.present)
	return true
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.present--
}

func (u *Upstream) takeSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Oatlatch-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// answer sends the answer to a finished run.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, run *Run, body []byte) {
	faults := u.currentFaults()
	if wait.For(r.Context(), faults.Late) != nil {
		return
	}
	answer := Answer(run.RequestID, body, answerSize(r))
	echo := r.Header.Get("Oatlatch-Request-Id")
	if faults.Crossed {
		echo, answer = "another-request", Answer("another-request", nil, answerSize(r))
	}
	if echo != "" {
		w.Header().Set("Oatlatch-Request-Id", echo)
	}
	if faults.Unframed {
		writeUnframed(w, answer)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (u *Upstream) begin(r *http.Request) *Run {
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

func (u *Upstream) finish(run *Run, cancelled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run.Finished = u.options.Now()
	run.Cancelled = cancelled
}

// work returns how long the request takes, longer after a cold start.
func (u *Upstream) work(r *http.Request) time.Duration {
	work := u.options.Work
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("work_ms"), 64); err == nil {
		work = time.Duration(ms * float64(time.Millisecond))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	warm := float64(u.options.Now().Sub(u.started)) / float64(max(1, u.options.ColdStart))
	if warm >= 1 {
		return work
	}
	return time.Duration(float64(work) * (1 + (u.options.ColdFactor-1)*(1-warm)))
}

func answerSize(r *http.Request) int {
	n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	return min(max(0, n), maxAnswerBytes)
}

// Answer returns the answer to a request: a line that names the request and the
// hash of its body, and then size bytes that depend on the request only.
func Answer(requestID string, body []byte, size int) []byte {
	answer := fmt.Appendf(nil, "request %s body %x\n", requestID, sha256.Sum256(body))
	source := rand.NewChaCha8(sha256.Sum256([]byte(requestID)))
	filler := make([]byte, size)
	_, _ = source.Read(filler)
	return append(answer, filler...)
}

// writeUnframed answers with neither a length nor chunks.
func writeUnframed(w http.ResponseWriter, answer []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buffered.Write(answer)
	_ = buffered.Flush()
}
