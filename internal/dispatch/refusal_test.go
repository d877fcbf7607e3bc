package dispatch_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// forge returns the encoded ticket with one character of its MAC changed.
func forge(ticket string) string {
	last := ticket[len(ticket)-5]
	replacement := "A"
	if last == 'A' {
		replacement = "B"
	}
	return ticket[:len(ticket)-5] + replacement + ticket[len(ticket)-4:]
}

func TestBadTicketsAndDeadlinesAreRefusedAsNotRun(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 1, slots: 3, limits: dispatch.Limits{MaxBodyBytes: 1000}})
	n := c.node("entry-0")
	foreign := ticket.Encode(ticket.Ticket{Issuer: "entry-0", Incarnation: n.self.Incarnation, Sequence: 1, Service: 8, ExpiresMs: 1 << 50}, c.snapshot.Manifest.TicketKeys[0])
	unissued := ticket.Encode(ticket.Ticket{Issuer: "entry-0", Incarnation: n.self.Incarnation, Sequence: 1 << 40, Service: 7, ExpiresMs: 1 << 50}, c.snapshot.Manifest.TicketKeys[0])
	foreignKey := ticket.Encode(ticket.Ticket{Issuer: "entry-0", Incarnation: n.self.Incarnation, Sequence: 1, Service: 7, ExpiresMs: 1 << 50}, []byte("another deployment's key"))
	cases := []struct{ name, ticket, header, value, want string }{
		{"none", "", "", "", "not-run/ticket-required"},
		{"malformed", "x.y", "", "", "not-run/ticket-forged"},
		{"too long", strings.Repeat("x", 2000), "", "", "not-run/ticket-forged"},
		{"forged", forge(freshTicket(t, n)), "", "", "not-run/ticket-forged"},
		{"foreign service", foreign, "", "", "not-run/ticket-foreign"},
		{"never issued", unissued, "", "", "not-run/ticket-forged"},
		{"foreign key", foreignKey, "", "", "not-run/ticket-forged"},
		{"deadline zero", freshTicket(t, n), dispatch.HeaderDeadline, "0", "not-run/bad-deadline"},
		{"deadline negative", freshTicket(t, n), dispatch.HeaderDeadline, "-5", "not-run/bad-deadline"},
		{"deadline text", freshTicket(t, n), dispatch.HeaderDeadline, "soon", "not-run/bad-deadline"},
		{"deadline huge", freshTicket(t, n), dispatch.HeaderDeadline, "99999999999999999999", "not-run/bad-deadline"},
	}
	for _, test := range cases {
		for _, at := range []*node{n, c.node("entry-1")} {
			resp, _ := sendTicketedRequest(t, at, test.ticket, "bad", test.header, test.value)
			got := outcomeOf(resp)
			repeated := got == "not-run/ticket-refused" && test.header != ""
			if got != test.want && !repeated {
				t.Errorf("%s at %s: got %s, want %s", test.name, at.self, got, test.want)
			}
			if resp.Header.Get(dispatch.HeaderTicket) == "" {
				t.Errorf("%s: the refusal carries no new ticket", test.name)
			}
		}
	}
	if got := c.runCounts()["bad"]; got != 0 {
		t.Errorf("refused requests ran %d times", got)
	}
}

func TestTicketsUnderAnUnknownKeyCostAtMostOneIssuer(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 1, slots: 3})
	n := c.node("entry-0")
	for issuer, want := range map[host.ID]int{"entry-1": 1, "nowhere": 0} {
		forged := ticket.Ticket{Issuer: issuer, Incarnation: 2, Sequence: 1, Service: 7, ExpiresMs: 1 << 50}
		before := c.peerCallCount()
		resp, _ := sendTicketedRequest(t, n, ticket.Encode(forged, []byte("another deployment's key")), "forged")
		if got := c.peerCallCount() - before; got != want {
			t.Errorf("%s: %d calls between hosts, want %d", issuer, got, want)
		}
		if resp.Header.Get(dispatch.HeaderOutcome) == "answered" || c.runCounts()["forged"] != 0 {
			t.Errorf("outcome for the issuer %s: %s", issuer, outcomeOf(resp))
		}
	}
}

func TestRefusalBurnsTheTicketAgainstADelayedDuplicate(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 1, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	resp, _ := sendTicketedRequest(t, c.node("entry-1"), ticket, "late", dispatch.HeaderDeadline, "0")
	if outcomeOf(resp) != "not-run/bad-deadline" {
		t.Fatalf("outcome: %s", outcomeOf(resp))
	}
	resp, _ = sendTicketedRequest(t, c.node("entry-0"), ticket, "late")
	if outcomeOf(resp) != "not-run/ticket-refused" || c.runCounts()["late"] != 0 {
		t.Errorf("the delayed duplicate got %s and ran %d times", outcomeOf(resp), c.runCounts()["late"])
	}
}

func TestTicketOfAnotherRequestIsRefused(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	sendTicketedRequest(t, c.node("entry-0"), ticket, "first")
	resp, _ := sendTicketedRequest(t, c.node("entry-0"), ticket, "second")
	if outcomeOf(resp) != "not-run/ticket-reused" || c.runCounts()["second"] != 0 {
		t.Errorf("outcome: %s", outcomeOf(resp))
	}
}

func TestExpiredTicketIsRefused(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3, limits: dispatch.Limits{TicketLifetime: time.Nanosecond}})
	n := c.node("entry-0")
	resp, _ := sendTicketedRequest(t, n, freshTicket(t, n), "expired")
	if outcomeOf(resp) != "not-run/ticket-expired" || c.runCounts()["expired"] != 0 {
		t.Errorf("outcome: %s", outcomeOf(resp))
	}
}

func TestOversizedRequestsAreRefused(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3, limits: dispatch.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 8 << 10}})
	n := c.node("entry-0")
	header := func() http.Header {
		return http.Header{dispatch.HeaderTicket: {freshTicket(t, n)}, "X-Request-Id": {"big"}}
	}
	resp, _ := sendRequest(t, n, http.MethodPost, "/", header(), make([]byte, 1001))
	if resp.StatusCode != http.StatusRequestEntityTooLarge || outcomeOf(resp) != "not-run/body-too-large" {
		t.Errorf("body with a length: %d %s", resp.StatusCode, outcomeOf(resp))
	}
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.address+"/", io.NopCloser(bytes.NewReader(make([]byte, 5000))))
	request.Host, request.Header = requestHost, header()
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if outcomeOf(resp) != "not-run/body-too-large" {
		t.Errorf("chunked body: %s", outcomeOf(resp))
	}
	large := header()
	large.Set("X-Large", strings.Repeat("x", 32<<10))
	if resp, _ := sendRequest(t, n, http.MethodPost, "/", large, nil); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("headers: %d", resp.StatusCode)
	}
	if got := c.runCounts()["big"]; got != 0 {
		t.Errorf("the request ran %d times", got)
	}
}

func TestSlowDripBodyIsRefusedAsNotRun(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3, limits: dispatch.Limits{BodyReadTimeout: 20 * time.Millisecond}})
	n := c.node("entry-0")
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 100\r\n\r\nx", requestHost, dispatch.HeaderTicket, freshTicket(t, n))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if outcomeOf(resp) != "not-run/body-unreadable" {
		t.Errorf("outcome: %s", outcomeOf(resp))
	}
}

func TestServerBoundsSlowHeadersAndConnections(t *testing.T) {
	server := dispatch.NewServer(http.NotFoundHandler(), dispatch.Limits{})
	if server.ReadHeaderTimeout <= 0 || server.IdleTimeout <= 0 || server.MaxHeaderBytes <= 0 {
		t.Errorf("the server lacks a limit on slow callers: %+v", server)
	}
}
