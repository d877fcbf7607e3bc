package dispatch_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// reportedOutcome is the outcome of one request as reported to the caller. complete is set
// if the caller got the whole expected body.
type reportedOutcome struct {
	id       string
	outcome  string
	complete bool
}

// checkOutcomes compares the reported outcomes with the runs that the upstreams recorded.
func checkOutcomes(t *testing.T, c *cluster, outcomes []reportedOutcome) {
	t.Helper()
	runs := c.runCounts()
	for _, o := range outcomes {
		n := runs[o.id]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", o.id, n)
		case o.outcome == "not-run" && n != 0:
			t.Errorf("%s ran, although not-run was reported", o.id)
		case o.outcome == "answered" && (n != 1 || !o.complete):
			t.Errorf("%s was reported as answered: %d runs, body complete: %v", o.id, n, o.complete)
		}
	}
}

func TestConnectionsBrokenAtEachByteOfAConfirmation(t *testing.T) {
	faults := map[string]func(int) upstream.Faults{
		"request reset": func(n int) upstream.Faults { return upstream.Faults{ResetAfterRequestBytes: n} },
		"answer reset":  func(n int) upstream.Faults { return upstream.Faults{ResetAfterResponseBytes: n} },
		"answer closed": func(n int) upstream.Faults { return upstream.Faults{CloseAfterResponseBytes: n} },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 1, upstreams: 2, slots: 3})
			n := c.node("entry-0")
			ticket := freshTicket(t, n)
			outcomes := make(map[string]int)
			var reported []reportedOutcome
			for at := 1; at <= 450; at++ {
				for _, u := range c.upstreams {
					u.SetFaults(fault(at))
				}
				id := fmt.Sprintf("%s-%d", name, at)
				resp, body := sendTicketedRequest(t, n, ticket, id)
				complete := bytes.Equal(body, upstream.ResponseBody(id, []byte("confirmed "+id), 0))
				reported = append(reported, reportedOutcome{id, resp.Header.Get(dispatch.HeaderOutcome), complete})
				outcomes[outcomeOf(resp)]++
				ticket = resp.Header.Get(dispatch.HeaderTicket)
			}
			checkOutcomes(t, c, reported)
			if outcomes["answered/ok"] == 0 || len(outcomes) < 2 {
				t.Errorf("want failed and successful requests, got %v", outcomes)
			}
			t.Logf("outcomes: %v", outcomes)
		})
	}
}

func TestDownloadsBrokenAtEachByteAreNeverTakenForWhole(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
	n := c.node("entry-0")
	want := upstream.ResponseBody("plan", nil, 100_000)
	interrupted := 0
	for at := 1; at <= len(want)+400; at += 1 + at/50 {
		c.upstreams[0].SetFaults(upstream.Faults{CloseAfterResponseBytes: at})
		request, _ := http.NewRequest(http.MethodGet, "http://"+n.address+"/plan?bytes=100000", nil)
		request.Host = requestHost
		request.Header.Set("X-Request-Id", "plan")
		resp, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			interrupted++
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		answered := resp.Header.Get(dispatch.HeaderOutcome) == "answered"
		if answered && err == nil && !bytes.Equal(body, want) {
			t.Fatalf("closed at byte %d: a partial body of %d bytes looked complete", at, len(body))
		}
		if err != nil || !answered {
			interrupted++
		}
	}
	if interrupted < 100 {
		t.Errorf("only %d GET requests were interrupted", interrupted)
	}
}

func TestCrossedAndUnframedAnswersAreNotPassedOn(t *testing.T) {
	for reason, fault := range map[string]upstream.Faults{
		"answer-crossed":  {MismatchedResponses: true},
		"answer-unframed": {CloseDelimited: true},
	} {
		c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
		n := c.node("entry-0")
		c.upstreams[0].SetFaults(fault)
		resp, _ := sendTicketedRequest(t, n, freshTicket(t, n), "c")
		if outcomeOf(resp) != "unknown/"+reason {
			t.Errorf("POST request: got %s, want unknown/%s", outcomeOf(resp), reason)
		}
		resp, _ = sendRequest(t, n, http.MethodGet, "/plan", nil, nil)
		if outcomeOf(resp) != "unknown/"+reason {
			t.Errorf("GET request: got %s, want unknown/%s", outcomeOf(resp), reason)
		}
	}
}

// closingServer starts a server that responds to the first request on each connection and
// closes the connection without a response when a second request arrives. seen counts the
// requests.
func closingServer(t *testing.T) (address string, seen *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	seen = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 4096)
				for answered := false; ; answered = true {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					seen.Add(1)
					if answered {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String(), seen
}

// TestTransportResendsSilentlyButTheDispatcherDoesNot guards against requests that are
// repeated without being counted as retries. A plain http.Transport sends a POST with an
// Idempotency-Key twice if it reuses a connection that the server closes before it
// responds. The same request must reach the upstream once through a host.
func TestTransportResendsSilentlyButTheDispatcherDoesNot(t *testing.T) {
	address, seen := closingServer(t)
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	for range 2 {
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("x")))
		request.Header.Set("Idempotency-Key", "k")
		resp, err := plain.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if got := seen.Load(); got != 3 {
		t.Fatalf("the plain transport sent two requests %d times, want 3: it no longer repeats a request", got)
	}

	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
	address, seen = closingServer(t)
	c.redirectUpstream(0, address)
	n := c.node("entry-0")
	for i := range 5 {
		sendTicketedRequest(t, n, freshTicket(t, n), fmt.Sprint(i), "Idempotency-Key", "k", "X-Idempotency-Key", "k")
	}
	if got := seen.Load(); got != 5 {
		t.Errorf("five POST requests arrived at the upstream %d times", got)
	}
	seen.Store(0)
	for range 4 {
		sendRequest(t, n, http.MethodGet, "/roster", nil, nil)
	}
	retries := uint64(0)
	for _, r := range n.dispatcher.Status().Retries {
		retries += r.Count
	}
	if got := uint64(seen.Load()); got != 4+retries {
		t.Errorf("four GET requests arrived at the upstream %d times with %d counted retries", got, retries)
	}
}

func TestCancellationReachesTheUpstreamAndFreesTheSlot(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 1, serviceTime: 5 * time.Second})
	n := c.node("entry-0")
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /plan HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p\r\n\r\n", requestHost)
	g := gomega.NewWithT(t)
	g.Eventually(func() int { return c.runCounts()["p"] }).Should(gomega.Equal(1))
	conn.Close()
	cancelled := time.Now()
	g.Eventually(func() bool { return c.upstreams[0].Runs()[0].Cancelled }, 10*time.Second, time.Millisecond).Should(gomega.BeTrue())
	g.Eventually(func() int { return n.dispatcher.Status().Services[0].Upstreams[0].InUse }, 10*time.Second, time.Millisecond).Should(gomega.BeZero())
	took := c.upstreams[0].Runs()[0].Finished.Sub(cancelled)
	t.Logf("cancellation reached the upstream after %v", took)
}

func TestUnreachableUpstreamIsNotRunAndAnotherOneServes(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 2, slots: 3})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.redirectUpstream(0, listener.Addr().String())
	listener.Close()
	n := c.node("entry-0")
	outcomes := make(map[string]int)
	for i := range 40 {
		resp, _ := sendTicketedRequest(t, n, freshTicket(t, n), fmt.Sprint("c", i))
		outcomes[outcomeOf(resp)]++
		resp, _ = sendRequest(t, n, http.MethodGet, "/roster", nil, nil)
		outcomes[outcomeOf(resp)]++
	}
	if outcomes["answered/ok"]+outcomes["not-run/upstream-unreachable"] != 80 || outcomes["answered/ok"] < 70 {
		t.Errorf("outcomes: %v", outcomes)
	}
}
