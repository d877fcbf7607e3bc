package publish_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

var (
	errLost = errors.New("response lost")
	errDown = errors.New("platform is down")
)

// simulation interleaves publications over one store, step by step. It injects faults
// and records which heads were really stored.
type simulation struct {
	t     fatalReporter
	rng   *rand.Rand
	store *fake.Store
	step  int
	// storedIDs holds the IDs of all publications whose head was stored at some time.
	storedIDs map[string]bool
	// delayed are writes without a response that have yet to reach the store.
	delayed []func()
	faults  faultRates
}

// fatalReporter is implemented by testing.TB and *rapid.T.
type fatalReporter interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// faultRates are the probabilities of faults. loseResponse, dropWrite and delayWrite
// concern writes of the head that get no response: they take effect, never take effect,
// or reach the store later. failCall concerns any call: it fails without an effect.
type faultRates struct{ loseResponse, dropWrite, delayWrite, failCall float64 }

// attempt is one operator's publication.
type attempt struct {
	machine *publish.StateMachine
	request publish.Request
	next    publish.Action
	// initialWeight is the weight of the service at the first read, once hasRead is set.
	initialWeight int
	hasRead       bool
	// startStep and endStep are zero until the attempt has started and finished.
	startStep, endStep int
}

// newSimulation returns a store in which services a, b and c are published with weight 1.
func newSimulation(t fatalReporter, seed uint64, faults faultRates) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: fake.NewStore(), storedIDs: map[string]bool{}, faults: faults,
	}
	first := s.newAttempt("first", "a", 1)
	first.request.Services = append(first.request.Services, svc("b", 1), svc("c", 1))
	first.machine = publish.NewStateMachine(first.request)
	// The first publication runs without faults.
	configured := s.faults
	s.faults = faultRates{}
	s.runAll([]*attempt{first})
	s.faults = configured
	return s
}

func (s *simulation) newAttempt(id, name string, weight int) *attempt {
	a := &attempt{request: publish.Request{
		ID: id, Operator: id, Services: []service.Service{svc(name, weight)}, At: time.Unix(1_800_000_000, 0),
	}}
	a.machine = publish.NewStateMachine(a.request)
	return a
}

// runAll steps the attempts in random order until all have finished, then applies the
// writes that are still delayed.
func (s *simulation) runAll(attempts []*attempt) {
	for {
		var running []*attempt
		for _, a := range attempts {
			if a.endStep == 0 {
				running = append(running, a)
			}
		}
		if len(running) == 0 {
			break
		}
		if len(s.delayed) > 0 && s.rng.IntN(4) == 0 {
			s.applyDelayed()
		}
		s.stepAttempt(running[s.rng.IntN(len(running))])
	}
	for len(s.delayed) > 0 {
		s.applyDelayed()
	}
}

// applyDelayed lets one randomly chosen delayed write reach the store.
func (s *simulation) applyDelayed() {
	i := s.rng.IntN(len(s.delayed))
	write := s.delayed[i]
	s.delayed = slices.Delete(s.delayed, i, i+1)
	write()
}

func (s *simulation) stepAttempt(a *attempt) {
	s.step++
	if a.next == nil {
		a.startStep = s.step
		a.next = a.machine.Start()
	}
	if _, finished := a.next.(publish.Finish); finished {
		a.endStep = s.step
		return
	}
	a.next = a.machine.Step(s.perform(a))
}

// perform executes the attempt's next action against the store, with random failures.
func (s *simulation) perform(a *attempt) publish.Event {
	failed := s.rng.Float64() < s.faults.failCall
	switch action := a.next.(type) {
	case publish.ReadState:
		if failed {
			return publish.ReadFailed{Err: errDown}
		}
		state := s.readState()
		if !a.hasRead && state.Bundle != nil {
			a.hasRead, a.initialWeight = true, weightOf(state, a.request.Services[0].Name)
		}
		return publish.StateRead{State: state}
	case publish.WritePages:
		if failed {
			return publish.PagesFailed{Err: errDown}
		}
		for _, page := range action.Pages {
			s.store.CompareAndSwap(page.Ref.Key(), page.Data, 0)
		}
		return publish.PagesWritten{}
	case publish.SwapHead:
		return s.swap(action)
	default:
		s.t.Fatalf("unexpected action %T", action)
		return nil
	}
}

// swap performs one write of the head, with a random fault.
func (s *simulation) swap(action publish.SwapHead) publish.Event {
	apply := func() bool {
		written := s.store.CompareAndSwap(config.HeadKey, action.Head, action.Revision)
		if written {
			head, err := config.DecodeHead(action.Head)
			if err != nil {
				s.t.Fatal(err)
			}
			s.storedIDs[head.Publications[len(head.Publications)-1].ID] = true
		}
		return written
	}
	draw := s.rng.Float64()
	switch f := s.faults; {
	case draw < f.loseResponse:
		apply()
		return publish.SwapAmbiguous{Err: errLost}
	case draw < f.loseResponse+f.dropWrite:
		return publish.SwapAmbiguous{Err: errLost}
	case draw < f.loseResponse+f.dropWrite+f.delayWrite:
		s.delayed = append(s.delayed, func() { apply() })
		return publish.SwapAmbiguous{Err: errLost}
	case draw < f.loseResponse+f.dropWrite+f.delayWrite+f.failCall:
		return publish.SwapFailed{Err: errDown}
	default:
		return publish.Swapped{Written: apply()}
	}
}

func (s *simulation) readState() publish.State {
	value := s.store.Get(config.HeadKey)
	if !value.Exists() {
		return publish.State{}
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		s.t.Fatal(err)
	}
	var pages []config.PageData
	for _, ref := range head.Pages {
		pages = append(pages, config.PageData{Ref: ref, Data: s.store.Get(ref.Key()).Data})
	}
	bundle, err := config.NewBundle(value.Data, pages, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return publish.State{Bundle: bundle, Revision: value.Revision}
}

// weightOf returns the weight of the service's first upstream; zero if it is not published.
func weightOf(s publish.State, name string) int {
	for _, svc := range s.Bundle.Snapshot.Services {
		if svc.Name == name {
			return int(svc.Upstreams[0].Weight)
		}
	}
	return 0
}

// svc returns a service whose addresses derive from the first letter of its name.
func svc(name string, weight int) service.Service {
	return service.Service{
		Name: name, Protocol: service.TCP,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, name[0]}), 443),
		Upstreams: []service.Upstream{{
			Name: "one", Weight: uint32(weight), Slots: 1, Connections: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, name[0]}), 80),
		}},
	}
}

// outcome is the result that a publication reported.
type outcome int

const (
	published outcome = iota
	unchanged
	conflicted
	notPublished
	undetermined
)

func (a *attempt) outcome(t fatalReporter) outcome {
	finish := a.next.(publish.Finish)
	var conflict *publish.ConflictError
	var failed *publish.NotPublishedError
	var unknown *publish.UnknownOutcomeError
	switch {
	case finish.Err == nil && finish.Result.Unchanged:
		return unchanged
	case finish.Err == nil:
		return published
	case errors.As(finish.Err, &conflict):
		return conflicted
	case errors.As(finish.Err, &failed):
		return notPublished
	case errors.As(finish.Err, &unknown):
		return undetermined
	default:
		t.Fatalf("unexpected outcome %v", finish.Err)
		return 0
	}
}

// checkOutcomes compares the reported outcomes with what was really stored, and counts
// them.
func (s *simulation) checkOutcomes(seed uint64, attempts []*attempt) map[outcome]int {
	counts := map[outcome]int{}
	for _, a := range attempts {
		reported := a.outcome(s.t)
		counts[reported]++
		if stored := s.storedIDs[a.request.ID]; reported != undetermined && stored != (reported == published) {
			s.t.Fatalf("seed %d: publication %s reported %v, but its head was stored: %v", seed, a.request.ID, a.next, stored)
		}
		var conflict *publish.ConflictError
		if errors.As(a.next.(publish.Finish).Err, &conflict) && !s.storedIDs[conflict.Other.ID] {
			s.t.Fatalf("seed %d: conflict names publication %s, which was never stored", seed, conflict.Other.ID)
		}
	}
	return counts
}

// TestThousandRacesWithLostAnswers guards against lost updates and wrong reports while
// concurrent publications lose responses. Every publication must learn its outcome, and
// the outcomes must be linearizable.
func TestThousandRacesWithLostAnswers(t *testing.T) {
	faults := faultRates{loseResponse: 0.2, dropWrite: 0.1, delayWrite: 0.1}
	total := map[outcome]int{}
	for seed := range uint64(1000) {
		s := newSimulation(t, seed, faults)
		var attempts []*attempt
		for i := range 2 + s.rng.IntN(4) {
			name := []string{"a", "a", "b", "c"}[s.rng.IntN(4)]
			attempts = append(attempts, s.newAttempt(fmt.Sprintf("p%d", i), name, 100+i))
		}
		s.runAll(attempts)
		for v, n := range s.checkOutcomes(seed, attempts) {
			total[v] += n
		}
		checkLinearizable(t, seed, attempts)
	}
	if total[undetermined] > 0 || total[notPublished] > 0 {
		t.Fatalf("publications failed or did not learn their outcome: %v", total)
	}
	t.Logf("published %d, conflicts %d, unknown %d", total[published], total[conflicted], total[undetermined])
}

// TestRacesWithFailingCalls guards against wrong reports when calls to the store fail
// as well. Publications may then end as not published or with an unknown outcome.
func TestRacesWithFailingCalls(t *testing.T) {
	faults := faultRates{loseResponse: 0.15, dropWrite: 0.1, delayWrite: 0.1, failCall: 0.1}
	total := map[outcome]int{}
	for seed := range uint64(1000) {
		s := newSimulation(t, seed, faults)
		attempts := []*attempt{s.newAttempt("p0", "a", 100), s.newAttempt("p1", "a", 101), s.newAttempt("p2", "b", 102)}
		s.runAll(attempts)
		for v, n := range s.checkOutcomes(seed, attempts) {
			total[v] += n
		}
	}
	t.Logf("published %d, conflicts %d, not published %d, unknown %d",
		total[published], total[conflicted], total[notPublished], total[undetermined])
}

// TestManyPublicationsAfterALostAnswer guards against a wrong report when so many
// publications follow a lost response that the head no longer lists the one in question.
func TestManyPublicationsAfterALostAnswer(t *testing.T) {
	cases := []struct {
		name string
		// faults decides what happens to the write whose response is lost.
		faults faultRates
		// sameService makes a later publication overwrite the same service.
		sameService bool
		want        outcome
	}{
		{"written, service unchanged since", faultRates{loseResponse: 1}, false, published},
		{"dropped, service unchanged since", faultRates{dropWrite: 1}, false, published},
		{"written, service overwritten", faultRates{loseResponse: 1}, true, undetermined},
		{"dropped, service overwritten", faultRates{dropWrite: 1}, true, undetermined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 1, c.faults)
			ambiguous := s.newAttempt("doubtful", "a", 100)
			for _, swapped := ambiguous.next.(publish.SwapHead); !swapped; _, swapped = ambiguous.next.(publish.SwapHead) {
				s.stepAttempt(ambiguous)
			}
			s.stepAttempt(ambiguous)
			s.faults = faultRates{}
			for i := range config.MaxPublications + 5 {
				name := "b"
				if c.sameService && i == config.MaxPublications {
					name = "a"
				}
				s.runAll([]*attempt{s.newAttempt(fmt.Sprintf("later-%d", i), name, 200+i)})
			}
			s.runAll([]*attempt{ambiguous})
			s.checkOutcomes(1, []*attempt{ambiguous})
			if got := ambiguous.outcome(t); got != c.want {
				t.Fatalf("got %v, want %v: %v", got, c.want, ambiguous.next)
			}
		})
	}
}

// casInput represents one publication of a service as a compare-and-swap of its weight.
type casInput struct {
	name            string
	expected, value int
}

// casModel specifies each service as an independent register with compare-and-swap.
var casModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(casInput).name
			byName[name] = append(byName[name], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 1 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(casInput)
		switch output.(outcome) {
		case published:
			return state == in.expected, in.value
		case conflicted:
			return state != in.expected, state
		default:
			return true, state
		}
	},
}

// checkLinearizable checks that the outcomes match some sequential order of
// compare-and-swaps on each service.
func checkLinearizable(t *testing.T, seed uint64, attempts []*attempt) {
	t.Helper()
	var history []porcupine.Operation
	for i, a := range attempts {
		svc := a.request.Services[0]
		history = append(history, porcupine.Operation{
			ClientId: i, Call: int64(a.startStep), Return: int64(a.endStep),
			Input:  casInput{svc.Name, a.initialWeight, int(svc.Upstreams[0].Weight)},
			Output: a.outcome(t),
		})
	}
	if !porcupine.CheckOperations(casModel, history) {
		t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
	}
}
