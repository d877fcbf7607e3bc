package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// exchange sends one request to a host without a client's help.
func exchange(t *testing.T, n *node, method, path string, header http.Header, body []byte) (*http.Response, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+n.address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = requestHost
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, got
}

// freshTicket asks the host for a ticket.
func freshTicket(t *testing.T, n *node) string {
	t.Helper()
	resp, _ := exchange(t, n, http.MethodPost, "/", nil, nil)
	if resp.StatusCode != http.StatusPreconditionRequired {
		t.Fatalf("want 428 for a request without a ticket, got %d", resp.StatusCode)
	}
	return resp.Header.Get(dispatch.HeaderTicket)
}

func post(t *testing.T, n *node, ticket, id string, more ...string) (*http.Response, []byte) {
	t.Helper()
	header := http.Header{dispatch.HeaderTicket: {ticket}, "X-Request-Id": {id}}
	for i := 0; i+1 < len(more); i += 2 {
		if more[i] != "" {
			header.Set(more[i], more[i+1])
		}
	}
	return exchange(t, n, http.MethodPost, "/confirm", header, []byte("made fast "+id))
}

func outcomeOf(resp *http.Response) string {
	return resp.Header.Get(dispatch.HeaderOutcome) + "/" + resp.Header.Get(dispatch.HeaderReason)
}

func TestConfirmationRunsOnceAndRepeatsGetTheSameAnswerAtEveryHost(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 2, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	want := upstream.Answer("c1", []byte("made fast c1"), 0)
	for _, id := range []host.ID{"entry-0", "entry-1", "entry-2", "entry-0"} {
		resp, body := post(t, c.node(id), ticket, "c1")
		if outcomeOf(resp) != "answered/ok" || !bytes.Equal(body, want) {
			t.Fatalf("%s: got %s %q", id, outcomeOf(resp), body)
		}
	}
	if got := c.runs()["c1"]; got != 1 {
		t.Fatalf("the confirmation ran %d times", got)
	}
}

func TestClientGetsConfirmationsAndDownloads(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 4, slots: 3})
	client := c.client()
	confirm := callers.Request{Method: http.MethodPost, Path: "/confirm", Body: []byte("x"), Header: http.Header{"X-Request-Id": {"c2"}}}
	answer, err := client.Do(context.Background(), confirm)
	if err != nil || !bytes.Equal(answer.Body, upstream.Answer("c2", []byte("x"), 0)) {
		t.Fatalf("confirmation: %+v, %v", answer, err)
	}
	plan := callers.Request{Method: http.MethodGet, Path: "/plan?bytes=300000", Header: http.Header{"X-Request-Id": {"p1"}}, Deadline: 5 * time.Second}
	answer, err = client.Do(context.Background(), plan)
	if err != nil || !bytes.Equal(answer.Body, upstream.Answer("p1", nil, 300000)) {
		t.Fatalf("download of %d bytes: %v", len(answer.Body), err)
	}
}
