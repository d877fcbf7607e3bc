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
	"github.com/oatlatch/oatlatch/internal/platform/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

var (
	errLost = errors.New("answer lost")
	errDown = errors.New("platform is down")
)

// race interleaves publications over one store, step by step, and knows the truth.
type race struct {
	t     failer
	rng   *rand.Rand
	store *fake.Store
	step  int
	// landed holds the IDs of all publications whose head was ever stored.
	landed map[string]bool
	// delayed are lost writes that are still to reach the store.
	delayed []func()
	faults  raceFaults
}

// failer is what testing.TB and *rapid.T have in common.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// raceFaults are the shares of platform calls that fail.
type raceFaults struct{ lose, drop, delay, fail float64 }

// operator is one publication under way.
type operator struct {
	machine *publish.Machine
	request publish.Request
	next    publish.Action
	// origin is the weight of the service when the operator first read it.
	origin     int
	read       bool
	call, done int
}

func newRace(t failer, seed uint64, faults raceFaults) *race {
	r := &race{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: fake.NewStore(), landed: map[string]bool{}, faults: faults,
	}
	first := r.operator("first", "a", 1)
	first.request.Services = append(first.request.Services, svc("b", 1), svc("c", 1))
	first.machine = publish.NewMachine(first.request)
	saved := r.faults
	r.faults = raceFaults{}
	r.runAll([]*operator{first})
	r.faults = saved
	return r
}

func (r *race) operator(id, name string, weight int) *operator {
	o := &operator{request: publish.Request{
		ID: id, Operator: id, Services: []service.Service{svc(name, weight)}, At: time.Unix(1_800_000_000, 0),
	}}
	o.machine = publish.NewMachine(o.request)
	return o
}

// runAll steps the operators in random order until all have finished.
func (r *race) runAll(operators []*operator) {
	for {
		var running []*operator
		for _, o := range operators {
			if o.done == 0 {
				running = append(running, o)
			}
		}
		if len(running) == 0 {
			break
		}
		if len(r.delayed) > 0 && r.rng.IntN(4) == 0 {
			r.deliver()
		}
		r.stepOne(running[r.rng.IntN(len(running))])
	}
	for len(r.delayed) > 0 {
		r.deliver()
	}
}

// deliver lets one delayed write reach the store.
func (r *race) deliver() {
	i := r.rng.IntN(len(r.delayed))
	write := r.delayed[i]
	r.delayed = slices.Delete(r.delayed, i, i+1)
	write()
}

func (r *race) stepOne(o *operator) {
	r.step++
	if o.next == nil {
		o.call = r.step
		o.next = o.machine.Start()
	}
	if _, finished := o.next.(publish.Finish); finished {
		o.done = r.step
		return
	}
	o.next = o.machine.Step(r.perform(o))
}

func (r *race) perform(o *operator) publish.Event {
	failed := r.rng.Float64() < r.faults.fail
	switch a := o.next.(type) {
	case publish.ReadState:
		if failed {
			return publish.ReadFailed{Err: errDown}
		}
		state := r.readState()
		if !o.read && state.Bundle != nil {
			o.read, o.origin = true, weightOf(state, o.request.Services[0].Name)
		}
		return publish.StateRead{State: state}
	case publish.WritePages:
		if failed {
			return publish.PagesFailed{Err: errDown}
		}
		for _, page := range a.Pages {
			r.store.CompareAndSwap(page.Ref.Key(), page.Data, 0)
		}
		return publish.PagesWritten{}
	case publish.Swap:
		return r.swap(a)
	default:
		r.t.Fatalf("unexpected action %T", a)
		return nil
	}
}

// swap decides the fate of one write of the head.
func (r *race) swap(a publish.Swap) publish.Event {
	apply := func() bool {
		written := r.store.CompareAndSwap(config.HeadKey, a.Head, a.Revision)
		if written {
			head, err := config.DecodeHead(a.Head)
			if err != nil {
				r.t.Fatal(err)
			}
			r.landed[head.Publications[len(head.Publications)-1].ID] = true
		}
		return written
	}
	draw := r.rng.Float64()
	switch f := r.faults; {
	case draw < f.lose:
		apply()
		return publish.SwapLost{Err: errLost}
	case draw < f.lose+f.drop:
		return publish.SwapLost{Err: errLost}
	case draw < f.lose+f.drop+f.delay:
		r.delayed = append(r.delayed, func() { apply() })
		return publish.SwapLost{Err: errLost}
	case draw < f.lose+f.drop+f.delay+f.fail:
		return publish.SwapFailed{Err: errDown}
	default:
		return publish.Swapped{Written: apply()}
	}
}

func (r *race) readState() publish.State {
	value := r.store.Get(config.HeadKey)
	if !value.Exists() {
		return publish.State{}
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		r.t.Fatal(err)
	}
	var pages []config.PageData
	for _, ref := range head.Pages {
		pages = append(pages, config.PageData{Ref: ref, Data: r.store.Get(ref.Key()).Data})
	}
	bundle, err := config.NewBundle(value.Data, pages, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return publish.State{Bundle: bundle, Revision: value.Revision}
}

func weightOf(s publish.State, name string) int {
	for _, svc := range s.Bundle.Snapshot.Services {
		if svc.Name == name {
			return int(svc.Upstreams[0].Weight)
		}
	}
	return 0
}

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

// verdict is how a publication ended.
type verdict int

const (
	landed verdict = iota
	unchanged
	conflicted
	notPublished
	unknownOutcome
)

func (o *operator) verdict(t failer) verdict {
	finish := o.next.(publish.Finish)
	var conflict *publish.ConflictError
	var failed *publish.NotPublishedError
	var unknown *publish.UnknownOutcomeError
	switch {
	case finish.Err == nil && finish.Result.Unchanged:
		return unchanged
	case finish.Err == nil:
		return landed
	case errors.As(finish.Err, &conflict):
		return conflicted
	case errors.As(finish.Err, &failed):
		return notPublished
	case errors.As(finish.Err, &unknown):
		return unknownOutcome
	default:
		t.Fatalf("unexpected outcome %v", finish.Err)
		return 0
	}
}

// check compares what the operators were told with the truth.
func (r *race) check(seed uint64, operators []*operator) map[verdict]int {
	counts := map[verdict]int{}
	for _, o := range operators {
		v := o.verdict(r.t)
		counts[v]++
		if truth := r.landed[o.request.ID]; v != unknownOutcome && truth != (v == landed) {
			r.t.Fatalf("seed %d: publication %s was told %v while landed is %v", seed, o.request.ID, o.next, truth)
		}
		var conflict *publish.ConflictError
		if errors.As(o.next.(publish.Finish).Err, &conflict) && !r.landed[conflict.Other.ID] {
			r.t.Fatalf("seed %d: conflict names %s, which never landed", seed, conflict.Other.ID)
		}
	}
	return counts
}

func TestThousandRacesWithLostAnswers(t *testing.T) {
	faults := raceFaults{lose: 0.2, drop: 0.1, delay: 0.1}
	total := map[verdict]int{}
	for seed := range uint64(1000) {
		r := newRace(t, seed, faults)
		var operators []*operator
		for i := range 2 + r.rng.IntN(4) {
			name := []string{"a", "a", "b", "c"}[r.rng.IntN(4)]
			operators = append(operators, r.operator(fmt.Sprintf("p%d", i), name, 100+i))
		}
		r.runAll(operators)
		for v, n := range r.check(seed, operators) {
			total[v] += n
		}
		checkLinearizable(t, seed, operators)
	}
	if total[unknownOutcome] > 0 || total[notPublished] > 0 {
		t.Fatalf("outcomes without an answer: %v", total)
	}
	t.Logf("landed %d, conflicts %d, unknown %d", total[landed], total[conflicted], total[unknownOutcome])
}

func TestRacesWithFailingCalls(t *testing.T) {
	faults := raceFaults{lose: 0.15, drop: 0.1, delay: 0.1, fail: 0.1}
	total := map[verdict]int{}
	for seed := range uint64(1000) {
		r := newRace(t, seed, faults)
		operators := []*operator{r.operator("p0", "a", 100), r.operator("p1", "a", 101), r.operator("p2", "b", 102)}
		r.runAll(operators)
		for v, n := range r.check(seed, operators) {
			total[v] += n
		}
	}
	t.Logf("landed %d, conflicts %d, not published %d, unknown %d",
		total[landed], total[conflicted], total[notPublished], total[unknownOutcome])
}

// TestManyPublicationsAfterALostAnswer lets more publications follow a lost answer
// than the head remembers.
func TestManyPublicationsAfterALostAnswer(t *testing.T) {
	cases := []struct {
		name string
		// fault is the fate of the write in doubt.
		fault raceFaults
		// sameService makes the last later publication overwrite the service in doubt.
		sameService bool
		want        verdict
	}{
		{"landed, service untouched since", raceFaults{lose: 1}, false, landed},
		{"dropped, service untouched since", raceFaults{drop: 1}, false, landed},
		{"landed, service overwritten", raceFaults{lose: 1}, true, unknownOutcome},
		{"dropped, service overwritten", raceFaults{drop: 1}, true, unknownOutcome},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRace(t, 1, c.fault)
			doubtful := r.operator("doubtful", "a", 100)
			for _, swapped := doubtful.next.(publish.Swap); !swapped; _, swapped = doubtful.next.(publish.Swap) {
				r.stepOne(doubtful)
			}
			r.stepOne(doubtful)
			r.faults = raceFaults{}
			for i := range config.MaxPublications + 5 {
				name := "b"
				if c.sameService && i == config.MaxPublications {
					name = "a"
				}
				r.runAll([]*operator{r.operator(fmt.Sprintf("later-%d", i), name, 200+i)})
			}
			r.runAll([]*operator{doubtful})
			r.check(1, []*operator{doubtful})
			if got := doubtful.verdict(t); got != c.want {
				t.Fatalf("got %v, want %v: %v", got, c.want, doubtful.next)
			}
		})
	}
}

// casInput is one publication of a service as a compare-and-swap of its weight.
type casInput struct {
	name          string
	origin, value int
}

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
		switch output.(verdict) {
		case landed:
			return state == in.origin, in.value
		case conflicted:
			return state != in.origin, state
		default:
			return true, state
		}
	},
}

// checkLinearizable checks the outcomes as compare-and-swaps of each service.
func checkLinearizable(t *testing.T, seed uint64, operators []*operator) {
	t.Helper()
	var history []porcupine.Operation
	for i, o := range operators {
		svc := o.request.Services[0]
		history = append(history, porcupine.Operation{
			ClientId: i, Call: int64(o.call), Return: int64(o.done),
			Input:  casInput{svc.Name, o.origin, int(svc.Upstreams[0].Weight)},
			Output: o.verdict(t),
		})
	}
	if !porcupine.CheckOperations(casModel, history) {
		t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
	}
}
