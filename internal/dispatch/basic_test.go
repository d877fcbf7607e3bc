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

// sendRequest sends a single HTTP request to a host, without callers.Client.
func sendRequest(t *testing.T, n *node, method, path string, header http.Header, body []byte) (*http.Response, []byte) {
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

// freshTicket gets a ticket from the host by sending a request without one.
func freshTicket(t *testing.T, n *node) string {
	t.Helper()
	resp, _ := sendRequest(t, n, http.MethodPost, "/", nil, nil)
	if resp.StatusCode != http.StatusPreconditionRequired {
		t.Fatalf("want 428 for a request without a ticket, got %d", resp.StatusCode)
	}
	return resp.Header.Get(dispatch.HeaderTicket)
}

// sendTicketedRequest sends a POST request with a ticket. extraHeaders alternates names and
// values; a pair with an empty name is left out.
func sendTicketedRequest(t *testing.T, n *node, ticket, id string, extraHeaders ...string) (*http.Response, []byte) {
	t.Helper()
	header := http.Header{dispatch.HeaderTicket: {ticket}, "X-Request-Id": {id}}
	for i := 0; i+1 < len(extraHeaders); i += 2 {
		if extraHeaders[i] != "" {
			header.Set(extraHeaders[i], extraHeaders[i+1])
		}
	}
	return sendRequest(t, n, http.MethodPost, "/confirm", header, []byte("confirmed "+id))
}

func outcomeOf(resp *http.Response) string {
	return resp.Header.Get(dispatch.HeaderOutcome) + "/" + resp.Header.Get(dispatch.HeaderReason)
}

func TestConfirmationRunsOnceAndRepeatsGetTheSameAnswerAtEveryHost(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 2, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	want := upstream.ResponseBody("c1", []byte("confirmed c1"), 0)
	for _, id := range []host.ID{"entry-0", "entry-1", "entry-2", "entry-0"} {
		resp, body := sendTicketedRequest(t, c.node(id), ticket, "c1")
		if outcomeOf(resp) != "answered/ok" || !bytes.Equal(body, want) {
			t.Fatalf("%s: got %s %q", id, outcomeOf(resp), body)
		}
	}
	if got := c.runCounts()["c1"]; got != 1 {
		t.Fatalf("the request ran %d times", got)
	}
}

func TestClientGetsConfirmationsAndDownloads(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 4, slots: 3})
	client := c.client()
	post := callers.Request{Method: http.MethodPost, Path: "/confirm", Body: []byte("x"), Header: http.Header{"X-Request-Id": {"c2"}}}
	answer, err := client.Do(context.Background(), post)
	if err != nil || !bytes.Equal(answer.Body, upstream.ResponseBody("c2", []byte("x"), 0)) {
		t.Fatalf("POST request: %+v, %v", answer, err)
	}
	get := callers.Request{Method: http.MethodGet, Path: "/plan?bytes=300000", Header: http.Header{"X-Request-Id": {"p1"}}, Deadline: 5 * time.Second}
	answer, err = client.Do(context.Background(), get)
	if err != nil || !bytes.Equal(answer.Body, upstream.ResponseBody("p1", nil, 300000)) {
		t.Fatalf("GET response of %d bytes: %v", len(answer.Body), err)
	}
}
