package dispatch_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/dispatch"
	"github.com/oatlatch/oatlatch/internal/host"
)

func TestSuccessorRepeatsOutcomesAndRunsUnusedTicketsAfterAGracefulStop(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 2, slots: 3, serviceTime: 30 * time.Millisecond})
	issuer, other := c.node("entry-0"), c.node("entry-1")
	used, unused, slow := freshTicket(t, issuer), freshTicket(t, issuer), freshTicket(t, issuer)
	_, first := sendTicketedRequest(t, issuer, used, "used")
	done := make(chan string, 1)
	go func() {
		resp, _ := sendTicketedRequest(t, issuer, slow, "slow")
		done <- outcomeOf(resp)
	}()
	g := gomega.NewWithT(t)
	g.Eventually(func() int { return c.runCounts()["slow"] }).Should(gomega.Equal(1))
	summary, err := c.stop("entry-0")
	if err != nil || len(summary.Ledgers) != 1 || summary.Ledgers[0].Successor == "" || summary.Ledgers[0].Records != 2 {
		t.Fatalf("summary: %+v, %v", summary, err)
	}
	if got := <-done; got != "answered/ok" {
		t.Fatalf("request in progress at the stop: %s", got)
	}
	for _, n := range []*node{other, c.node("entry-2")} {
		if resp, body := sendTicketedRequest(t, n, used, "used"); outcomeOf(resp) != "answered/ok" || string(body) != string(first) {
			t.Fatalf("repeat at %s: %s %q", n.self, outcomeOf(resp), body)
		}
		if resp, _ := sendTicketedRequest(t, n, unused, "unused"); outcomeOf(resp) != "answered/ok" {
			t.Fatalf("unused ticket at %s: %s", n.self, outcomeOf(resp))
		}
	}
	for id, n := range c.runCounts() {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

func TestTicketsOfADeadHostNeverRunAgain(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 2, slots: 3})
	used, unused := freshTicket(t, c.node("entry-0")), freshTicket(t, c.node("entry-0"))
	sendTicketedRequest(t, c.node("entry-0"), used, "used")
	c.kill("entry-0")
	c.start("entry-0")
	for _, id := range []host.ID{"entry-0", "entry-1"} {
		for _, ticket := range []string{used, unused} {
			resp, _ := sendTicketedRequest(t, c.node(id), ticket, "used")
			if outcomeOf(resp) != "unknown/ticket-void" || resp.StatusCode != http.StatusGone {
				t.Errorf("outcome at %s: %s", id, outcomeOf(resp))
			}
		}
	}
	if got := c.runCounts()["used"]; got != 1 {
		t.Errorf("the request ran %d times", got)
	}
}

func TestPartitionedIssuerLeavesTheOutcomeUnknownAndTellsItAfterwards(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 1, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	c.setPartitioned("entry-0", "entry-1", true)
	resp, _ := sendTicketedRequest(t, c.node("entry-1"), ticket, "c")
	if outcomeOf(resp) != "unknown/issuer-unreachable" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("during the partition: %s", outcomeOf(resp))
	}
	c.setPartitioned("entry-0", "entry-1", false)
	c.setLosesReplies("entry-0", true)
	resp, _ = sendTicketedRequest(t, c.node("entry-1"), ticket, "c")
	if outcomeOf(resp) != "unknown/issuer-unreachable" {
		t.Fatalf("with the reply lost: %s", outcomeOf(resp))
	}
	c.setLosesReplies("entry-0", false)
	resp, _ = sendTicketedRequest(t, c.node("entry-1"), ticket, "c")
	if outcomeOf(resp) != "answered/ok" || c.runCounts()["c"] != 1 {
		t.Fatalf("after the partition: %s, %d runs", outcomeOf(resp), c.runCounts()["c"])
	}
}

// TestTicketWaitsForTheFirstView guards against a host that, before it knows its peers,
// reports tickets of live issuers as void. TestRollingRestartsLeaveNothingUnknown found
// this with seed 5.
func TestTicketWaitsForTheFirstView(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
	ticket := freshTicket(t, c.node("entry-0"))
	c.hideViews(true)
	n := c.start("entry-1")
	done := make(chan string, 1)
	go func() {
		resp, _ := sendTicketedRequest(t, n, ticket, "early")
		done <- outcomeOf(resp)
	}()
	gomega.NewWithT(t).Eventually(func() int { return n.dispatcher.Status().InProgress }).Should(gomega.Equal(1))
	c.hideViews(false)
	c.publishView()
	if got := <-done; got != "answered/ok" {
		t.Errorf("outcome: %s", got)
	}
}

func TestLargeLedgersAndBodiesFitIntoMessagesBetweenHosts(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, upstreams: 2, slots: 3})
	issuer := c.node("entry-0")
	body := make([]byte, 512<<10)
	ticket := freshTicket(t, issuer)
	header := http.Header{dispatch.HeaderTicket: {ticket}, "X-Request-Id": {"large"}}
	for _, id := range []host.ID{"entry-1", "entry-0"} {
		resp, _ := sendRequest(t, c.node(id), http.MethodPost, "/book?bytes=520000", header, body)
		if outcomeOf(resp) != "answered/ok" {
			t.Fatalf("at %s: %s", id, outcomeOf(resp))
		}
	}
	for range 5 {
		header.Set(dispatch.HeaderTicket, freshTicket(t, issuer))
		sendRequest(t, issuer, http.MethodPost, "/book?bytes=300000", header, nil)
	}
	if summary, err := c.stop("entry-0"); err != nil || summary.Ledgers[0].Records != 6 {
		t.Fatalf("handover: %+v, %v", summary, err)
	}
	header.Set(dispatch.HeaderTicket, ticket)
	resp, got := sendRequest(t, c.node("entry-1"), http.MethodPost, "/book?bytes=520000", header, body)
	if outcomeOf(resp) != "answered/ok" || len(got) < 520_000 {
		t.Errorf("repeat after the handover: %s with %d bytes", outcomeOf(resp), len(got))
	}
}

func TestLedgerThatMayExistTwiceRunsNothingAtItsSecondHolder(t *testing.T) {
	for _, lossy := range []host.ID{"entry-1", "entry-2"} {
		c := newCluster(t, clusterOptions{hosts: 3, upstreams: 1, slots: 3})
		unused := freshTicket(t, c.node("entry-0"))
		c.setLosesReplies(lossy, true)
		if _, err := c.stop("entry-0"); err != nil {
			t.Fatal(err)
		}
		c.setLosesReplies(lossy, false)
		for _, id := range []host.ID{"entry-1", "entry-2", "entry-1"} {
			sendTicketedRequest(t, c.node(id), unused, "unused")
		}
		if got := c.runCounts()["unused"]; got != 1 {
			t.Errorf("%s loses replies: the request ran %d times", lossy, got)
		}
	}
}

func TestRelaysLeaveRoomForOtherCallsBetweenHosts(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 1, slots: 100, serviceTime: 20 * time.Millisecond, upstreamQueue: 1000})
	issuer, other := c.node("entry-0"), c.node("entry-1")
	outcomes := make(chan string, 60)
	for i := range cap(outcomes) {
		ticket := freshTicket(t, issuer)
		go func() {
			resp, _ := sendTicketedRequest(t, other, ticket, fmt.Sprint("c", i))
			outcomes <- outcomeOf(resp)
		}()
	}
	for range cap(outcomes) {
		if got := <-outcomes; got != "answered/ok" {
			t.Errorf("outcome: %s", got)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peakRelays > 32 {
		t.Errorf("%d relays were in progress at once", c.peakRelays)
	}
}
