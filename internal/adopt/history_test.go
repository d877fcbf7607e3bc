package adopt_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/onsi/gomega"
)

const (
	historyHosts = 5
	// historyRounds is the number of faults that the history goes through.
	historyRounds = 12
	// maxProcesses bounds the processes of all hosts over the history.
	maxProcesses = historyHosts + historyRounds
)

// opKind is an operation of the history.
type opKind int

const (
	opPublish opKind = iota
	opRead
	opStart
	opStop
)

// opInput is one operation; process is meaningless for a publication.
type opInput struct {
	kind    opKind
	process int
}

// fleetState is the state of the sequential specification.
type fleetState struct {
	published config.Version
	// last is the highest version that each process is known to have.
	last [maxProcesses]config.Version
	up   [maxProcesses]bool
	// serves is set once a process was seen with a configuration.
	serves [maxProcesses]bool
}

// fleetModel says: published versions rise; a process never goes to a lower
// version nor to one that is not published; and a new process has at least what
// all of its peers have.
var fleetModel = porcupine.Model{
	Init: func() any { return fleetState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(fleetState), input.(opInput)
		version, _ := output.(config.Version)
		switch in.kind {
		case opPublish:
			ok := version > s.published
			s.published = max(s.published, version)
			return ok, s
		case opRead:
			joining := version == 0 && !s.serves[in.process]
			ok := version <= s.published && (version >= s.last[in.process] || joining)
			s.serves[in.process] = !joining
			s.last[in.process] = max(s.last[in.process], version)
			return ok, s
		case opStart:
			s.last[in.process] = s.lowestRunning()
			s.up[in.process] = true
			return true, s
		default:
			s.up[in.process] = false
			return true, s
		}
	},
}

func (s fleetState) lowestRunning() config.Version {
	lowest := s.published
	for i, up := range s.up {
		if up {
			lowest = min(lowest, s.last[i])
		}
	}
	return lowest
}

// recorder collects the history of concurrent operations.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

func (r *recorder) record(client int, in opInput, perform func() config.Version) config.Version {
	call := time.Since(r.start).Nanoseconds()
	out := perform()
	done := time.Since(r.start).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: done})
	return out
}

// historyFleet is a fleet under faults whose operations are recorded.
type historyFleet struct {
	*recorder
	t     *testing.T
	rng   *rand.Rand
	store *fake.Store
	// old is the store after the first publication.
	old       *fake.Store
	fleet     *fleet
	ports     []*fake.Port
	nodes     []*node
	process   []int
	processes int
}

func (h *historyFleet) boot(i int) {
	process := h.processes
	h.processes++
	h.record(process, opInput{opStart, process}, func() config.Version {
		n := h.fleet.start(h.t, i, host.Incarnation(process+1), h.ports[i])
		h.nodes[i], h.process[i] = n, process
		h.fleet.shareMembers()
		return 0
	})
}

func (h *historyFleet) read(i int) config.Version {
	return h.record(h.process[i], opInput{opRead, h.process[i]}, h.nodes[i].version)
}

// fault changes the faults of one host other than the first, or replaces it; each
// fault comes in turn.
func (h *historyFleet) fault(round int) {
	i := 1 + h.rng.IntN(historyHosts-1)
	faults := []fake.Faults{{}, {Down: true}, {Stale: true, StaleFrom: h.old}, {DeafWatches: true}, {Delay: 20 * time.Millisecond}}
	choice := round % (len(faults) + 1)
	if choice < len(faults) {
		h.ports[i].SetFaults(faults[choice])
		return
	}
	h.record(h.process[i], opInput{opStop, h.process[i]}, func() config.Version {
		h.nodes[i].stop()
		return 0
	})
	h.boot(i)
}

// publishBoth lets two operators publish different services at once.
func (h *historyFleet) publishBoth(round int) config.Version {
	var versions [2]config.Version
	var joined sync.WaitGroup
	for i, name := range []string{"a", "b"} {
		joined.Go(func() {
			versions[i] = h.record(maxProcesses+i, opInput{kind: opPublish}, func() config.Version {
				return publish(h.t, h.store, uint64(10+2*round+i), svc(name, i+1, round+2))
			})
		})
	}
	joined.Wait()
	return max(versions[0], versions[1])
}

func TestHistoryOfPublishAndAdopt(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &historyFleet{
		recorder: &recorder{start: time.Now()}, t: t, rng: rand.New(rand.NewPCG(20261203, 1)),
		store: fake.NewStore(), fleet: newFleet(),
		ports: make([]*fake.Port, historyHosts), nodes: make([]*node, historyHosts), process: make([]int, historyHosts),
	}
	for i := range h.ports {
		h.ports[i] = fake.NewPort(h.store)
	}
	// Every adoption counts as a read of the process that the incarnation stands for.
	h.fleet.onAdopt = func(self host.Host, version config.Version) {
		process := int(self.Incarnation) - 1
		h.record(process, opInput{opRead, process}, func() config.Version { return version })
	}
	version := h.publishBoth(0)
	h.old = h.store.Copy()
	for i := range h.nodes {
		h.boot(i)
	}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	// The first host's process never changes, so that it can be read all the time.
	readers.Go(func() {
		ticks := time.NewTicker(20 * time.Millisecond)
		defer ticks.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticks.C:
				h.read(0)
			}
		}
	})
	for round := range historyRounds {
		for i := range h.nodes {
			g.Eventually(func() config.Version { return h.read(i) }, inForce).Should(gomega.BeNumerically(">=", version))
		}
		h.fault(round)
		version = h.publishBoth(round + 1)
	}
	close(stop)
	readers.Wait()
	for _, n := range h.nodes {
		n.stop()
	}
	if !porcupine.CheckOperations(fleetModel, h.history) {
		t.Fatalf("history of %d operations is not linearizable", len(h.history))
	}
	t.Logf("%d operations, %d processes", len(h.history), h.processes)
}
