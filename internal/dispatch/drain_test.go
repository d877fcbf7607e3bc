package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// setUpstreamState gives all hosts a health view in which one upstream has the given state
// and all others are up.
func (c *cluster) setUpstreamState(index int, state health.State, ramp float64) {
	var view health.View
	for i, u := range c.snapshot.Services[0].Upstreams {
		upstreamHealth := health.Upstream{Service: 7, Name: u.Name, State: health.Up}
		if i == index {
			upstreamHealth.State, upstreamHealth.Ramp = state, ramp
		}
		view.Upstreams = append(view.Upstreams, upstreamHealth)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.dispatcher.SetUpstreams(view)
	}
}

// slotsInUse returns the number of slots in use at an upstream, summed over all hosts.
func (c *cluster) slotsInUse(index int) int {
	total := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		for _, s := range n.dispatcher.Status().Services[0].Upstreams {
			if s.Upstream == c.snapshot.Services[0].Upstreams[index].Name {
				total += s.InUse
			}
		}
	}
	return total
}

func TestDrainingUpstreamsCutsNothingAndGetsNoNewWork(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 4, slots: 3, serviceTime: time.Millisecond})
	drainCount := 0
	r := recordHistory(c, 7, 100, deadlineWithoutFaults, func(*rand.Rand) {
		index := drainCount % 4
		drainCount++
		c.upstreams[index].Drain()
		c.setUpstreamState(index, health.Draining, 0)
		gomega.NewWithT(t).Eventually(func() int { return c.upstreams[index].InFlight() }, 10*time.Second).Should(gomega.BeZero())
		runsBefore := len(c.upstreams[index].Runs())
		shedBefore := c.upstreams[index].ShedCount()
		gomega.NewWithT(t).Eventually(func() int { return c.slotsInUse(index) }, 10*time.Second).Should(gomega.BeZero())
		if got := len(c.upstreams[index].Runs()); got != runsBefore {
			t.Errorf("a drained upstream got %d more runs", got-runsBefore)
		}
		if got := c.upstreams[index].ShedCount(); got > shedBefore+4 {
			t.Errorf("a drained upstream shed %d more requests", got-shedBefore)
		}
		c.upstreams[index].Resume()
		c.setUpstreamState(index, health.Up, 0)
	})
	r.check(t)
	for label, n := range r.outcomes {
		if strings.HasPrefix(label, "unknown") || label == "none/broken" {
			t.Errorf("%d requests ended with %s", n, label)
		}
	}
}

func TestJoiningUpstreamTakesOneRequestAtOnceOverAllHosts(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 4, upstreams: 2, slots: 4, serviceTime: 3 * time.Millisecond, upstreamQueue: 1000})
	c.setUpstreamState(0, health.Joining, 0.1)
	counts := sendConcurrently(c, 24, 10, http.MethodGet, 20*time.Second)
	if peak := c.upstreams[0].PeakInFlight(); peak != 1 {
		t.Errorf("the joining upstream held %d requests at once, the other one %d: %v", peak, c.upstreams[1].PeakInFlight(), counts)
	}
}

func TestUpstreamsAreUsedWhenAllLookBad(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 2, slots: 3})
	var view health.View
	for _, u := range c.snapshot.Services[0].Upstreams {
		view.Upstreams = append(view.Upstreams, health.Upstream{Service: 7, Name: u.Name, State: health.Suspect})
	}
	n := c.node("entry-0")
	n.dispatcher.SetUpstreams(view)
	if resp, _ := sendRequest(t, n, http.MethodGet, "/", nil, nil); outcomeOf(resp) != "answered/ok" {
		t.Errorf("all upstreams suspect: %s", outcomeOf(resp))
	}
	for i := range view.Upstreams {
		view.Upstreams[i].State = health.Gone
	}
	n.dispatcher.SetUpstreams(view)
	resp, _ := sendRequest(t, n, http.MethodGet, "/", nil, nil)
	if outcomeOf(resp) != "not-run/no-upstream" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("all upstreams gone: %s", outcomeOf(resp))
	}
}

func TestUnencryptedHTTP2(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 1, upstreams: 1, slots: 3})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	get := func(id string) (string, error) {
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.node("entry-0").address+"/plan?bytes=200000", nil)
		request.Host = requestHost
		request.Header.Set("X-Request-Id", id)
		resp, err := transport.RoundTrip(request)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		if resp.ProtoMajor != 2 {
			return "", fmt.Errorf("the response came over %s", resp.Proto)
		}
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	for _, at := range []int{1000, 70_000, 150_000} {
		c.upstreams[0].SetFaults(upstream.Faults{CloseAfterResponseBytes: at})
		body, err := get("cut")
		if err == nil && strings.HasPrefix(body, "request cut") {
			t.Errorf("a partial body of %d bytes, closed at byte %d, looked complete", len(body), at)
		}
	}
	c.upstreams[0].SetFaults(upstream.Faults{})
	if body, err := get("whole"); err != nil || body != string(upstream.ResponseBody("whole", nil, 200000)) {
		t.Errorf("without faults: got %d bytes: %v", len(body), err)
	}
}
