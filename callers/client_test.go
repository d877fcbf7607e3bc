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

// scriptedHost is a host that issues a ticket with each response and requires one for
// POST requests. It sends the responses in turn, then answers all further requests,
// and records the ticket of each request.
type scriptedHost struct {
	mu            sync.Mutex
	responses     []func(w http.ResponseWriter)
	tickets       []string
	ticketsIssued int
}

func (s *scriptedHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := r.Header.Get(headerTicket)
	s.tickets = append(s.tickets, ticket)
	s.ticketsIssued++
	w.Header().Set(headerTicket, fmt.Sprintf("t%d", s.ticketsIssued))
	if r.Method == http.MethodPost && ticket == "" {
		respond(NotRun, "ticket-required", http.StatusPreconditionRequired, "")(w)
		return
	}
	if len(s.responses) == 0 {
		respond(Answered, "ok", http.StatusOK, "")(w)
		return
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	next(w)
}

// respond returns a function that sends a complete response.
func respond(outcome Outcome, reason string, status int, retryAfter string) func(http.ResponseWriter) {
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

// dropConnection returns a function that closes the connection without a response or, if
// partial is set, within the body of the response.
func dropConnection(partial bool) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if partial {
			w.Header().Set(headerOutcome, string(Answered))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}
		panic(http.ErrAbortHandler)
	}
}

func TestTicketsAndOutcomes(t *testing.T) {
	cases := []struct {
		name      string
		responses []func(http.ResponseWriter)
		want      string // outcome, reason and the ticket of each request; the first has none
	}{
		{"answered", nil, "answered ok -,t1"},
		{"lost response repeats the ticket", []func(http.ResponseWriter){dropConnection(false)}, "answered ok -,t1,t1"},
		{"partial response repeats the ticket", []func(http.ResponseWriter){dropConnection(true)}, "answered ok -,t1,t1"},
		{"expired ticket is replaced", []func(http.ResponseWriter){respond(NotRun, "ticket-expired", 410, "")}, "answered ok -,t1,t2"},
		{"void ticket at the first attempt is replaced", []func(http.ResponseWriter){respond(Unknown, "ticket-void", 410, "")}, "answered ok -,t1,t2"},
		{"void ticket after a lost response is unknown", []func(http.ResponseWriter){dropConnection(false), respond(Unknown, "ticket-void", 410, "")}, "unknown ticket-void -,t1,t1"},
		{"rejection is final", []func(http.ResponseWriter){respond(NotRun, "bad-deadline", 400, "")}, "not-run bad-deadline -,t1"},
		{"unknown without Retry-After is final", []func(http.ResponseWriter){respond(Unknown, "upstream-reset", 502, "")}, "unknown upstream-reset -,t1"},
		{"Retry-After beyond the deadline", []func(http.ResponseWriter){respond(Unknown, "issuer-unreachable", 503, "30")}, "unknown issuer-unreachable -,t1"},
		{"redirect is returned", []func(http.ResponseWriter){func(w http.ResponseWriter) {
			w.Header().Set("Location", "/elsewhere")
			respond(Answered, "ok", http.StatusTemporaryRedirect, "")(w)
		}}, "answered ok -,t1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedHost{responses: c.responses}
			server := httptest.NewServer(s)
			defer server.Close()
			client := New(Options{Hosts: []string{strings.TrimPrefix(server.URL, "http://")}, RequestHost: "x", Deadline: 5 * time.Second})
			response, err := client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")})
			var outcomeErr *OutcomeError
			if (response.Outcome == Answered) != (err == nil) || (err != nil && !errors.As(err, &outcomeErr)) {
				t.Fatalf("outcome %s with error %v", response.Outcome, err)
			}
			tickets := strings.Join(s.tickets, ",")
			if got := fmt.Sprintf("%s %s -%s", response.Outcome, response.Reason, tickets); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestOutcomeWithUnreachableHost(t *testing.T) {
	client := New(Options{Hosts: []string{"127.0.0.1:1"}, RequestHost: "x", Deadline: 120 * time.Millisecond})
	response, err := client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	if response.Outcome != NotRun || err == nil {
		t.Errorf("without a ticket: %+v, %v", response, err)
	}
	client.tickets.put("t")
	response, err = client.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	if response.Outcome != Unknown || err == nil {
		t.Errorf("with a ticket: %+v, %v", response, err)
	}
}
