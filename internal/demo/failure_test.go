package demo

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/callers"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// failureDuration is the least time for which the load of a failure test runs.
const failureDuration = 10 * time.Second

// runWithProcesses runs the demo with each host in a process of its own and the given
// steps. It fails the test if a guarantee is violated.
func runWithProcesses(t *testing.T, user string, steps func(*demoRun) []step) *Report {
	t.Helper()
	t.Parallel()
	report, err := Run(context.Background(), Options{
		User: user, Duration: failureDuration, Seed: 7, Logger: zerolog.Nop(),
		launch: launchProcess, steps: steps,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *report)
	// The propagation time depends on the speed of the machine and is not checked.
	report.Propagation = 0
	for _, line := range report.Violations() {
		t.Error(line)
	}
	if countAnswered(report) == 0 || report.FlowsOpened == 0 {
		t.Errorf("no flow was opened or no request was answered: %+v", report)
	}
	return report
}

func countAnswered(report *Report) int { return countOutcome(report, callers.Answered) }

// countOutcome returns the number of requests with the given outcome.
func countOutcome(report *Report, outcome callers.Outcome) int {
	requests := 0
	for _, count := range report.Requests {
		if count.Outcome == outcome {
			requests += count.Requests
		}
	}
	return requests
}

// delistFirstHost removes the first host from the lists of the fabric and of callers after
// fabricUpdateDelay, as a network does some time after a failure.
func (r *demoRun) delistFirstHost() error {
	if err := wait.Sleep(r.ctx, fabricUpdateDelay); err != nil {
		return err
	}
	r.removeFromList(0)
	r.updateFabric()
	r.requests.setHosts(r.services, r.requestAddresses())
	return nil
}

// signalFirstHost sends a signal to the process of the first host.
func (r *demoRun) signalFirstHost(s syscall.Signal) error {
	r.hosts()[0].node.(*processNode).signal(s)
	return nil
}

func TestKilledHostBreaksNoFlowAndDuplicatesNoRequest(t *testing.T) {
	runWithProcesses(t, "amarres", func(r *demoRun) []step {
		return []step{
			{"kill a host", 0.4, func() error { return r.signalFirstHost(syscall.SIGKILL) }},
			{"remove the host from the fabric", 0.4, r.delistFirstHost},
			{"add a replacement host", 0.6, r.addHostForCallers},
		}
	})
}

// The second host is killed fabricUpdateDelay after the first.
func TestTwoOfFourHostsKilledInQuickSuccession(t *testing.T) {
	runWithProcesses(t, "kowhai-lane", func(r *demoRun) []step {
		return []step{
			{"kill a host", 0.4, func() error { return r.signalFirstHost(syscall.SIGKILL) }},
			{"remove the host from the fabric", 0.4, r.delistFirstHost},
			{"kill a second host", 0.4, func() error { return r.signalFirstHost(syscall.SIGKILL) }},
			{"remove the second host from the fabric", 0.4, r.delistFirstHost},
		}
	})
}

// A process that resumes after SIGCONT still has the state from before it was stopped. It
// must not send flows to an upstream by that state, or run requests a second time.
func TestSuspendedHostResumesWithoutActingOnStaleState(t *testing.T) {
	runWithProcesses(t, "amarres", func(r *demoRun) []step {
		suspended := r.hosts()[0]
		return []step{
			{"suspend a host", 0.2, func() error { return r.signalFirstHost(syscall.SIGSTOP) }},
			{"remove the host from the fabric", 0.2, r.delistFirstHost},
			{"drain an upstream while the host is suspended", 0.4, func() error { return r.setUpstreamState(r.services[0].Name, 0, service.AdminDraining) }},
			{"resume the host", 0.6, func() error {
				suspended.node.(*processNode).signal(syscall.SIGCONT)
				r.mu.Lock()
				r.entryHosts = append(r.entryHosts, suspended)
				r.mu.Unlock()
				r.updateFabric()
				return nil
			}},
		}
	})
}

func TestGracefulStopInterruptsNothing(t *testing.T) {
	report := runWithProcesses(t, "kowhai-lane", func(r *demoRun) []step {
		leaving := r.hosts()[0].node.(*processNode)
		return []step{
			{"stop a host", 0.3, r.removeHost},
			{"check the log of the host", 0.5, func() error {
				if !leaving.hasLogged("event=requests_finished", "handed_over=", "->") || !leaving.hasLogged("event=stopped") {
					return errors.New("the log does not show which host took over the request records, or that the host stopped")
				}
				return nil
			}},
		}
	})
	if unknown := countOutcome(report, callers.Unknown); unknown != 0 {
		t.Errorf("%d requests ended with an unknown outcome", unknown)
	}
}

func TestPlatformOutageOfAnyLength(t *testing.T) {
	runWithProcesses(t, "amarres", func(r *demoRun) []step {
		first := r.services[0].Name
		return []step{
			{"take the platform down", 0.2, func() error { r.platform.SetFaults(fake.Faults{Down: true}); return nil }},
			{"start a host that gets its configuration from its peers", 0.3, r.addHostForCallers},
			{"kill a host", 0.4, func() error { return r.signalFirstHost(syscall.SIGKILL) }},
			{"remove the host from the fabric", 0.4, r.delistFirstHost},
			{"try to publish", 0.5, func() error { return expectPublishFailure(r) }},
			{"bring the platform back", 0.6, func() error { r.platform.SetFaults(fake.Faults{}); return nil }},
			{"publish", 0.7, func() error { return r.setUpstreamWeight(first, 1, 2) }},
		}
	})
}

// expectPublishFailure returns an error if a publication succeeds while the platform is down.
func expectPublishFailure(r *demoRun) error {
	client, err := r.newPlatformClient()
	if err != nil {
		return err
	}
	changed := append([]service.Service(nil), r.services...)
	changed[0].DrainLimit++
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	if _, err := publishrunner.Publish(ctx, client, publishrunner.Options{Operator: "second"}, changed); err == nil {
		return errors.New("published while the platform was down")
	}
	return nil
}

func TestConcurrentPublicationsConflict(t *testing.T) {
	runWithProcesses(t, "kowhai-lane", func(r *demoRun) []step {
		return []step{{"two operators change one service", 0.3, func() error { return publishConcurrently(r) }}}
	})
}

// publishConcurrently publishes two different changes of one service, both based on the
// same version. It returns an error unless one of them succeeds and the other is rejected
// with a conflict.
func publishConcurrently(r *demoRun) error {
	status, err := r.hosts()[0].Status()
	if err != nil {
		return err
	}
	results := make(chan error, 2)
	for i := range 2 {
		changed := append([]service.Service(nil), r.services...)
		changed[0].DrainLimit += time.Duration(i+1) * time.Minute
		client, err := r.newPlatformClient()
		if err != nil {
			return err
		}
		go func() {
			_, err := publishrunner.Publish(r.ctx, client, publishrunner.Options{Operator: "racer", Base: status.ConfigVersion}, changed)
			results <- err
		}()
	}
	rejected, accepted := <-results, <-results
	if rejected == nil {
		rejected, accepted = accepted, rejected
	}
	var conflict *publish.ConflictError
	if accepted != nil || !errors.As(rejected, &conflict) {
		return errors.Join(errors.New("want one publication and one conflict"), rejected, accepted)
	}
	return nil
}

func TestSecondSignalForcesStop(t *testing.T) {
	runWithProcesses(t, "amarres", func(r *demoRun) []step {
		return []step{{"send a host two stop signals", 0.4, func() error {
			leaving := r.removeFromList(0)
			r.updateFabric()
			r.requests.setHosts(r.services, r.requestAddresses())
			leaving.Stop()
			if err := waitForLog(r, leaving.node.(*processNode), "event=stopping"); err != nil {
				return err
			}
			leaving.Stop()
			<-leaving.Done()
			if leaving.Err() == nil {
				return errors.New("the host exited with status 0 after a forced stop")
			}
			return nil
		}}}
	})
}

// waitForLog waits until the host has logged a line that contains all the parts.
func waitForLog(r *demoRun, n *processNode, parts ...string) error {
	for !n.hasLogged(parts...) {
		if err := wait.Sleep(r.ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func TestHostWithoutPlatformAndPeersRejectsRequestsAndRecovers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := platform.New(platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	go server.Run(ctx)
	server.SetFaults(fake.Faults{Down: true})
	d := &deployment{options: Options{User: "amarres", Seed: 3, launch: launchProcess}, ctx: ctx, platform: server}
	if d.services, err = loadExamples("amarres"); err != nil {
		t.Fatal(err)
	}
	n, err := launchProcess(ctx, d.hostSettings(1), 1)
	if err != nil {
		t.Fatal(err)
	}
	status := waitForStatus(t, n, func(s daemonStatus) bool {
		return s.NotReady != "" && s.Configuration.WatchFailures+len(s.NotReady) > 0
	})
	response, err := http.Get("http://" + status.Host.RequestAddress.String() + "/plans")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Oatlatch-Outcome") != "not-run" {
		t.Errorf("want 503 not-run, got %s %q", response.Status, response.Header.Get("Oatlatch-Outcome"))
	}
	server.SetFaults(fake.Faults{})
	if _, err := d.publish(); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, n, func(s daemonStatus) bool { return s.Ready })
	n.Stop()
	<-n.Done()
	if n.Err() != nil {
		t.Errorf("the host did not stop gracefully: %v", n.Err())
	}
}
