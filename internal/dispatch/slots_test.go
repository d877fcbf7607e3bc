package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// sendConcurrently sends requests from several concurrent callers, each of which uses one
// host, and counts the requests by outcome and reason.
func sendConcurrently(c *cluster, concurrency, requestsPerCaller int, method string, deadline time.Duration) map[string]int {
	var mu sync.Mutex
	counts := make(map[string]int)
	var group sync.WaitGroup
	addresses := c.addresses()
	for i := range concurrency {
		client := callers.New(callers.Options{Hosts: addresses[i%len(addresses) : i%len(addresses)+1], RequestHost: requestHost})
		group.Go(func() {
			for n := range requestsPerCaller {
				header := http.Header{"X-Request-Id": {fmt.Sprintf("f%d-%d", i, n)}}
				answer, err := client.Do(context.Background(), callers.Request{Method: method, Path: "/x", Header: header, Deadline: deadline})
				var failed *callers.OutcomeError
				if err != nil && !errors.As(err, &failed) {
					panic(err)
				}
				mu.Lock()
				counts[string(answer.Outcome)+"/"+answer.Reason]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return counts
}

func TestSlotsAreHonouredAcrossHosts(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		c := newCluster(t, clusterOptions{hosts: 5, upstreams: 4, slots: 3, serviceTime: 4 * time.Millisecond, upstreamQueue: 1000})
		counts := sendConcurrently(c, 60, 25, method, 20*time.Second)
		for i, u := range c.upstreams {
			if u.PeakInFlight() > 3 {
				t.Errorf("%s: upstream %d held %d requests at once in 3 slots", method, i, u.PeakInFlight())
			}
		}
		if counts["answered/ok"] != 1500 {
			t.Errorf("%s: all requests have enough time to be answered: %v", method, counts)
		}
		t.Logf("%s: %v", method, counts)
	}
}

// TestQueueOfZeroLetsNoRequestWait guards against a queue of 0 that is taken for a default:
// requests then wait although the settings allow none.
func TestQueueOfZeroLetsNoRequestWait(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 1, serviceTime: 20 * time.Millisecond, noQueue: true})
	counts := sendConcurrently(c, 4, 1, http.MethodPost, time.Second)
	if counts["not-run/queue-full"] == 0 {
		t.Errorf("four requests at once for one slot: %v", counts)
	}
}

func TestSlotsStayWithinTheBoundWhileHostsAreKilledAndRestarted(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 4, slots: 3, serviceTime: 3 * time.Millisecond, upstreamQueue: 1000})
	r := recordHistory(c, 6, 100, deadlineWithFaults, func(r *rand.Rand) {
		id := host.ID(fmt.Sprintf("entry-%d", r.IntN(4)))
		c.kill(id)
		c.start(id)
	})
	r.check(t)
	// Hosts with different membership views may exceed the 3 slots by one request for each
	// of the 4 hosts but one, as documented at limit.Group.Shares.
	for i, u := range c.upstreams {
		if u.PeakInFlight() > 3+4-1 {
			t.Errorf("upstream %d held %d requests at once", i, u.PeakInFlight())
		}
	}
}

func TestHostsWithoutSlotsOfTheirOwnBorrowThem(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 5, upstreams: 1, slots: 2, serviceTime: time.Millisecond, upstreamQueue: 1000})
	counts := sendConcurrently(c, 5, 20, http.MethodPost, 20*time.Second)
	if counts["answered/ok"] != 100 {
		t.Errorf("outcomes: %v", counts)
	}
	if peak := c.upstreams[0].PeakInFlight(); peak > 2 {
		t.Errorf("the upstream held %d requests at once in 2 slots", peak)
	}
}

func TestLeaseOfALostLoanEnds(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 1, slots: 1, serviceTime: time.Millisecond, upstreamQueue: 1000})
	c.setLosesReplies("entry-0", true)
	c.setLosesReplies("entry-1", true)
	sendConcurrently(c, 2, 2, http.MethodGet, 300*time.Millisecond)
	c.setLosesReplies("entry-0", false)
	c.setLosesReplies("entry-1", false)
	counts := sendConcurrently(c, 2, 1, http.MethodGet, 20*time.Second)
	if counts["answered/ok"] != 2 {
		t.Errorf("after the leases have ended: %v", counts)
	}
	if peak := c.upstreams[0].PeakInFlight(); peak > 1 {
		t.Errorf("the upstream held %d requests at once in 1 slot", peak)
	}
}

func TestRetriesStayWithinTheBudgetWhileAllUpstreamsShed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		c := newCluster(t, clusterOptions{hosts: 2, upstreams: 4, slots: 3})
		for _, u := range c.upstreams {
			u.SetFaults(upstream.Faults{Shed: true})
		}
		var requests atomic.Int64
		for i := range 400 {
			n := c.node(host.ID(fmt.Sprintf("entry-%d", i%2)))
			ticket := ""
			if method == http.MethodPost {
				ticket = freshTicket(t, n)
			}
			resp, _ := sendRequest(t, n, method, "/", http.Header{"Oatlatch-Ticket": {ticket}}, nil)
			if outcomeOf(resp) != "not-run/upstream-shed" || resp.Header.Get("Retry-After") == "" {
				t.Fatalf("outcome: %s", outcomeOf(resp))
			}
			requests.Add(1)
		}
		attempts := 0
		for _, u := range c.upstreams {
			attempts += u.ShedCount()
		}
		ratio := float64(attempts) / float64(requests.Load())
		t.Logf("%s: %.3f attempts per request", method, ratio)
		if ratio >= 1.2 {
			t.Errorf("%s: %.3f attempts per request", method, ratio)
		}
	}
}

func TestNothingIsSentPastItsDeadline(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 2, upstreams: 2, slots: 1, serviceTime: 20 * time.Millisecond, upstreamQueue: 1000})
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			client := c.client()
			_, _ = client.Do(context.Background(), callers.Request{
				Method: http.MethodGet, Path: "/", Deadline: time.Duration(5+i) * time.Millisecond,
			})
		})
	}
	group.Wait()
	for _, u := range c.upstreams {
		for _, run := range u.Runs() {
			if run.PastDeadline {
				t.Errorf("%s was sent past its deadline", run.RequestID)
			}
		}
	}
}
