package experiment

import (
	"math"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// scarceOptions returns options for a small deployment in which most patterns lack slots, and
// a run that is just long enough for them.
func scarceOptions() Options {
	o := DefaultOptions()
	o.HostsPerDataCentre, o.UpstreamsPerDataCentre, o.Slots, o.Load = 2, 3, 2, 0.8
	o.Duration, o.Outage, o.StartSpread = 20*time.Second, 1500*time.Millisecond, 300*time.Millisecond
	return o
}

// TestNoRunExceedsItsBound guards against a bound that leaves out something a balancer can use:
// no row of any run may exceed it. Each missed request has one cause, and the
// measurement must not change the run. It takes about 20 s on a busy machine for its 175 runs,
// as every pattern is played under every policy.
func TestNoRunExceedsItsBound(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			for _, policy := range echo.Policies() {
				bound := RunBound(p, policy, scarceOptions())
				rows := bound.Total
				for _, w := range bound.Windows {
					rows = append(rows, w.Rows...)
				}
				for _, r := range rows {
					missed := 0
					for _, n := range r.Causes {
						missed += n
					}
					if float64(r.InTime) > r.InTimeBound || float64(r.InTime+r.Late) > r.ServedBound || r.Worth > r.WorthBound || r.WorthBound > 1 || missed != r.Due-r.InTime {
						t.Errorf("%s: %+v: exceeds the bound, or causes for %d of %d requests", policy, r, missed, r.Due-r.InTime)
					}
				}
				if policy != echo.LeastUsed {
					continue
				}
				got, want := bound.Total[0], Run(p, policy, scarceOptions())
				if got.Due != want.Requests || got.InTime != want.InTime || got.Late != want.Late || got.Refused != want.Refused || got.Failed != want.Failed {
					t.Errorf("%+v, without the measurement %+v", got, want)
				}
			}
		})
	}
}

// TestBoundOfSteadyLoad checks the bound where its value is known: everything at a third of the
// slots, and the slots' work at twice the slots.
func TestBoundOfSteadyLoad(t *testing.T) {
	p, err := Find("steady")
	if err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions()
	options.Load = 0.3
	bound := RunBound(p, echo.LeastUsed, options)
	for _, w := range append(bound.Windows, BoundWindow{Rows: bound.Total}) {
		for _, r := range w.Rows {
			if r.WorthBound != 1 {
				t.Errorf("window %s: bound %v of %+v, want 1", w.At, r.WorthBound, r)
			}
		}
	}
	const margin = 0.02
	for _, policy := range []echo.Policy{echo.LeastUsed, echo.Random, echo.AllKnowing} {
		options.Load = 2
		slots := float64(options.DataCentres * options.UpstreamsPerDataCentre * options.Slots)
		want := slots * (options.Duration + options.Objective).Seconds() / options.ServiceTime.Seconds()
		got := RunBound(p, policy, options).Total[0]
		t.Logf("%s: %.0f of %d in time, the slots' work is %.0f", policy, got.InTimeBound, got.Due, want)
		if math.Abs(got.InTimeBound-want) > margin*want {
			t.Errorf("%s: bound %.0f of %d, want %.0f", policy, got.InTimeBound, got.Due, want)
		}
	}
}

// TestBoundOfOutage checks the pattern power-loss with an outage of 1.5 s: a request whose
// last copy before its deadline meets no host can't be answered. Callers send copies after 0.2
// s, within the objective, and after 0.6 and 1.4 s, within the timeout.
func TestBoundOfOutage(t *testing.T) {
	p, err := Find("power-loss")
	if err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions()
	options.Load, options.Outage, options.StartDelay = 0.3, 1500*time.Millisecond, 0
	m := newMeasurement(options)
	got := m.bound(p, simulate(p, echo.LeastUsed, options, m)).Total[0]
	tests := []struct {
		name  string
		bound float64
		last  time.Duration
	}{{"in time", got.InTimeBound, firstRetransmit}, {"served", got.ServedBound, openTimeout}}
	for _, test := range tests {
		dark := 0
		for _, a := range m.accounts {
			arrival := a.sent.Add(callerDelay).Sub(runStart)
			if arrival >= patternStart && arrival+test.last < patternStart+options.Outage {
				dark++
			}
		}
		if want := got.Due - dark; dark == 0 || test.bound != float64(want) {
			t.Errorf("%s: bound %.0f of %d requests, want %d", test.name, test.bound, got.Due, want)
		}
	}
}

// TestCausesOfMissedRequests plays loads and faults with one dominant cause each.
func TestCausesOfMissedRequests(t *testing.T) {
	const minFraction = 0.6 // others are late because of a long service time
	tests := []struct {
		pattern string
		cause   Cause
		change  func(*Options)
	}{
		{"mass-restart", DarkHost, func(*Options) {}},
		{"dark-many", DarkUpstream, func(o *Options) { o.Objective = 800 * time.Millisecond }},
		{"mute", DarkUpstream, func(*Options) {}},
		{"sinkhole", FailedResponse, func(o *Options) { o.Objective = o.Timeout }},
		{"steady", Full, func(o *Options) { o.Load, o.QueueSize, o.Objective = 1, 0, o.Timeout }},
		{"steady", Refused, func(o *Options) { o.Load, o.FlowRequests = 1.2, 1 }},
		{"overload", QueuedAtUpstream, func(*Options) {}},
		{"power-loss", Held, func(o *Options) { o.Outage, o.StartDelay = 0, 800*time.Millisecond }},
	}
	for _, test := range tests {
		t.Run(test.pattern+" "+test.cause.String(), func(t *testing.T) {
			t.Parallel()
			p, err := Find(test.pattern)
			if err != nil {
				t.Fatal(err)
			}
			options := DefaultOptions()
			test.change(&options)
			r := RunBound(p, echo.LeastUsed, options).Total[0]
			if missed := r.Due - r.InTime; missed == 0 || float64(r.Causes[test.cause]) < minFraction*float64(missed) {
				t.Errorf("%d of %d missed requests because of %s: %v", r.Causes[test.cause], missed, test.cause, r.Causes)
			}
		})
	}
}

// TestCopiedSYNIsACause covers a flow that a copy of its SYN has opened again at another
// upstream, which ignores the request.
func TestCopiedSYNIsACause(t *testing.T) {
	sim := newSimulation(DefaultOptions(), echo.LeastUsed)
	a := &requestAccount{state: Other, since: sim.now}
	c := &caller{sim: sim, pending: true, account: a}
	c.flow = &callerFlow{caller: c, upstream: sim.upstreams[0], sent: 1}
	sim.upstreams[1].handleRequest(&request{flow: c.flow, number: 1})
	a.finish(sim.now.Add(time.Second), timedOut, false)
	if got := a.cause(); got != SYNCopied {
		t.Errorf("cause %s, want %s", got, SYNCopied)
	}
}
