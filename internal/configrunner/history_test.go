package configrunner_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/onsi/gomega"
)

const (
	historyNodes = 5
	// historyRounds is the number of faults that are injected.
	historyRounds = 12
	// maxHistoryProcesses bounds the number of processes: each host's first one, and one
	// more for each round that replaces a host's process.
	maxHistoryProcesses = historyNodes + historyRounds
)

// opKind is the kind of an operation in the history.
type opKind int

const (
	opPublish opKind = iota
	opRead
	opStart
	opStop
)

// opInput is the input of one operation. The process is zero and not used for a publication.
type opInput struct {
	kind    opKind
	process int
}

// clusterState is the state of the sequential specification.
type clusterState struct {
	// published is the highest published version.
	published config.Version
	// versions holds the highest version that each process is known to have.
	versions [maxHistoryProcesses]config.Version
	running  [maxHistoryProcesses]bool
	// configured says which processes were seen with a configuration.
	configured [maxHistoryProcesses]bool
}

// clusterModel specifies that published versions rise, that a process never adopts a
// version that is lower than before or not published, and that a new process adopts at
// least the lowest version of the running processes. A process may read version zero until it
// has a configuration.
var clusterModel = porcupine.Model{
	Init: func() any { return clusterState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(clusterState), input.(opInput)
		version, _ := output.(config.Version)
		switch in.kind {
		case opPublish:
			ok := version > s.published
			s.published = max(s.published, version)
			return ok, s
		case opRead:
			joining := version == 0 && !s.configured[in.process]
			ok := version <= s.published && (version >= s.versions[in.process] || joining)
			s.configured[in.process] = !joining
			s.versions[in.process] = max(s.versions[in.process], version)
			return ok, s
		case opStart:
			s.versions[in.process] = s.lowestRunningVersion()
			s.running[in.process] = true
			return true, s
		default:
			s.running[in.process] = false
			return true, s
		}
	},
}

// lowestRunningVersion returns the lowest version of the running processes, or the
// latest published one if none is running.
func (s clusterState) lowestRunningVersion() config.Version {
	lowest := s.published
	for i, running := range s.running {
		if running {
			lowest = min(lowest, s.versions[i])
		}
	}
	return lowest
}

// recorder records a history of concurrent operations.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

// record performs an operation and records its input, its output and its times.
func (r *recorder) record(client int, in opInput, perform func() config.Version) config.Version {
	call := time.Since(r.start).Nanoseconds()
	out := perform()
	done := time.Since(r.start).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: done})
	return out
}

// historyTest runs a cluster under faults and records its operations.
type historyTest struct {
	*recorder
	t     *testing.T
	rng   *rand.Rand
	store *fake.Store
	// firstStore is the store after the first publication.
	firstStore *fake.Store
	cluster    *cluster
	clients    []*fake.Client
	nodes      []*node
	// processOf holds the number of each host's current process.
	processOf    []int
	processCount int
}

// startNode starts a new process of the host.
func (h *historyTest) startNode(i int) {
	process := h.processCount
	h.processCount++
	h.record(process, opInput{opStart, process}, func() config.Version {
		n := h.cluster.start(h.t, i, host.Incarnation(process+1), h.clients[i])
		h.nodes[i], h.processOf[i] = n, process
		h.cluster.setMembers()
		return 0
	})
}

// readVersion records a read of the version that the host has adopted.
func (h *historyTest) readVersion(i int) config.Version {
	return h.record(h.processOf[i], opInput{opRead, h.processOf[i]}, h.nodes[i].version)
}

// injectFault changes the platform faults of one random host other than the first, or
// replaces its process. The rounds cycle through the kinds of faults.
func (h *historyTest) injectFault(round int) {
	i := 1 + h.rng.IntN(historyNodes-1)
	faults := []fake.Faults{{}, {Down: true}, {Stale: true, StaleFrom: h.firstStore}, {MissChanges: true}, {Delay: 20 * time.Millisecond}}
	kind := round % (len(faults) + 1)
	if kind < len(faults) {
		h.clients[i].SetFaults(faults[kind])
		return
	}
	h.record(h.processOf[i], opInput{opStop, h.processOf[i]}, func() config.Version {
		h.nodes[i].stop()
		return 0
	})
	h.startNode(i)
}

// publishConcurrently lets two operators publish different services at the same time. It
// returns the higher version.
func (h *historyTest) publishConcurrently(round int) config.Version {
	var versions [2]config.Version
	var publishers sync.WaitGroup
	for i, name := range []string{"a", "b"} {
		publishers.Go(func() {
			versions[i] = h.record(maxHistoryProcesses+i, opInput{kind: opPublish}, func() config.Version {
				return publish(h.t, h.store, uint64(10+2*round+i), newService(name, i+1, round+2))
			})
		})
	}
	publishers.Wait()
	return max(versions[0], versions[1])
}

// TestHistoryOfPublishAndAdopt guards against a host going back to an older version or
// adopting one that was not published, while platform faults and restarts occur.
func TestHistoryOfPublishAndAdopt(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &historyTest{
		recorder: &recorder{start: time.Now()}, t: t, rng: rand.New(rand.NewPCG(20261203, 1)),
		store: fake.NewStore(), cluster: newCluster(),
		clients: make([]*fake.Client, historyNodes), nodes: make([]*node, historyNodes), processOf: make([]int, historyNodes),
	}
	for i := range h.clients {
		h.clients[i] = fake.NewClient(h.store)
	}
	// Every adoption is recorded as a read by the process, whose number follows from the
	// host's incarnation.
	h.cluster.onAdopt = func(self host.Host, version config.Version) {
		process := int(self.Incarnation) - 1
		h.record(process, opInput{opRead, process}, func() config.Version { return version })
	}
	version := h.publishConcurrently(0)
	h.firstStore = h.store.Copy()
	for i := range h.nodes {
		h.startNode(i)
	}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	// The first host's process is never replaced, so it can be read continuously.
	readers.Go(func() {
		ticks := time.NewTicker(20 * time.Millisecond)
		defer ticks.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticks.C:
				h.readVersion(0)
			}
		}
	})
	for round := range historyRounds {
		for i := range h.nodes {
			g.Eventually(func() config.Version { return h.readVersion(i) }, adoptionTimeout).Should(gomega.BeNumerically(">=", version))
		}
		h.injectFault(round)
		version = h.publishConcurrently(round + 1)
	}
	close(stop)
	readers.Wait()
	for _, n := range h.nodes {
		n.stop()
	}
	if !porcupine.CheckOperations(clusterModel, h.history) {
		t.Fatalf("history of %d operations is not linearizable", len(h.history))
	}
	t.Logf("%d operations, %d processes", len(h.history), h.processCount)
}
