package callers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// script answers requests in turn and notes their tickets.
type script struct {
	mu      sync.Mutex
	answers []func(w http.ResponseWriter)
	tickets []string
	issued  int
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := r.Header.Get(headerTicket)
	s.tickets = append(s.tickets, ticket)
	s.issued++
	w.Header().Set(headerTicket, fmt.Sprintf("t%d", s.issued))
	if r.Method == http.MethodPost && ticket == "" {
		tell(NotRun, "ticket-required", http.StatusPreconditionRequired, "")(w)
		return
	}
	if len(s.answers) == 0 {
		tell(Answered, "ok", http.StatusOK, "")(w)
		return
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	answer(w)
}

func tell(outcome Outcome, reason string, status int, retryAfter string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set(headerOutcome, string(outcome))
		w.Header().Set(headerReason, reason)
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte("body"))
	}
}

// lose ends the connection without an answer, or with half of one.
func lose(half bool) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if half {
			w.Header().Set(headerOutcome, string(Answered))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}
		panic(http.ErrAbortHandler)
	}
}

func TestTicketRules(t *testing.T) {
	cases := []struct {
		name    string
		answers []func(http.ResponseWriter)
		want    string // outcome, reason and the tickets sent
	}{
		{"answered", nil, "answered ok -,t1"},
		{"lost answer repeats the ticket", []func(http.ResponseWriter){lose(false)}, "answered ok -,t1,t1"},
		{"half an answer repeats the ticket", []func(http.ResponseWriter){lose(true)}, "answered ok -,t1,t1"},
		{"expired takes a fresh one", []func(http.ResponseWriter){tell(NotRun, "ticket-expired", 410, "")}, "answered ok -,t1,t2"},
		{"void at the first send takes a fresh one", []func(http.ResponseWriter){tell(Unknown, "ticket-void", 410, "")}, "answered ok -,t1,t2"},
		{"void after a lost answer is unknown", []func(http.ResponseWriter){lose(false), tell(Unknown, "ticket-void", 410, "")}, "unknown ticket-void -,t1,t1"},
		{"final refusal", []func(http.ResponseWriter){tell(NotRun, "bad-deadline", 400, "")}, "not-run bad-deadline -,t1"},
		{"final unknown", []func(http.ResponseWriter){tell(Unknown, "upstream-reset", 502, "")}, "unknown upstream-reset -,t1"},
		{"no time to come back", []func(http.ResponseWriter){tell(Unknown, "issuer-unreachable", 503, "30")}, "unknown issuer-unreachable -,t1"},
		{"redirect is passed on", []func(http.ResponseWriter){func(w http.ResponseWriter) {
			w.Header().Set("Location", "/elsewhere")
			tell(Answered, "ok", http.StatusTemporaryRedirect, "")(w)
		}}, "answered ok -,t1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &script{answers: c.answers}
			server := httptest.NewServer(s)
			defer server.Close()
			client := New(Options{Hosts: []string{strings.TrimPrefix(server.URL, "http://")}, RequestHost: "x", Deadline: 5 * time.Second})
			answer, err := client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")})
			var failed *OutcomeError
			if (answer.Outcome == Answered) != (err == nil) || (err != nil && !errors.As(err, &failed)) {
				t.Fatalf("outcome %s with error %v", answer.Outcome, err)
			}
			tickets := strings.Join(s.tickets, ",")
			if got := fmt.Sprintf("%s %s -%s", answer.Outcome, answer.Reason, tickets); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestNoHostLeavesTheOutcomeNotRunBeforeATicketAndUnknownAfter(t *testing.T) {
	client := New(Options{Hosts: []string{"127.0.0.1:1"}, RequestHost: "x", Deadline: 120 * time.Millisecond})
	answer, err := client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	if answer.Outcome != NotRun || err == nil {
		t.Errorf("without a ticket: %+v, %v", answer, err)
	}
	client.tickets.put("t")
	answer, err = client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	if answer.Outcome != Unknown || err == nil {
		t.Errorf("with a ticket: %+v, %v", answer, err)
	}
}
