package echo

import (
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// crowd lets answers become slow although this host's own requests leave slots
// free, as under a burst that other hosts forward.
func crowd(t *testing.T, upstreams ...catalog.Entry) *desk {
	d := newDesk(t, upstreams...)
	d.answers(watchAddress, 200, 60*time.Millisecond)
	d.answers(watchAddress, 40, 180*time.Millisecond)
	return d
}

// await leaves a request without answer at each of the upstreams.
func (d *desk) await(n int) {
	for range n {
		f := d.caller(orderAddress)
		f.open()
		f.ask()
	}
}

func TestFlowsAreRefusedWhileOtherHostsFillTheSlots(t *testing.T) {
	d := crowd(t, entry(1, testDC), entry(2, testDC))
	d.await(2)
	refused := d.caller(watchAddress).syn()
	d.expect(refused, Reset, Overloaded)
	if refused.Detail.SlowAnswers <= crowdedPart || refused.Detail.Work == 0 {
		t.Errorf("the refusal does not tell what it rests on: %+v", refused.Detail)
	}
	d.expect(d.caller(orderAddress).syn(), Forward, Opened)
}

func TestAnUpstreamWithoutRequestsIsNotCrowded(t *testing.T) {
	d := crowd(t, entry(1, testDC), entry(2, testDC))
	d.await(1)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}

func TestACrowdIsForgottenWithoutAnswers(t *testing.T) {
	d := crowd(t, entry(1, testDC), entry(2, testDC))
	d.await(2)
	d.pass(crowdedFor)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}

func TestACrowdEndsWithFastAnswers(t *testing.T) {
	d := crowd(t, entry(1, testDC), entry(2, testDC))
	d.answers(watchAddress, 20, 60*time.Millisecond)
	d.await(2)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}

func TestAFewSlowUpstreamsAreNoCrowd(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	d.answers(watchAddress, 200, 60*time.Millisecond)
	for range 20 {
		d.answers(watchAddress, 1, 240*time.Millisecond)
		d.answers(watchAddress, 2, 60*time.Millisecond)
	}
	d.await(2)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}

func TestLongWorkIsNoCrowd(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	d.answers(watchAddress, 200, 200*time.Millisecond)
	d.await(2)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}

// withIdleRoute adds a route of the highest priority that has no traffic.
func (d *desk) withIdleRoute() {
	idle := d.routes[0]
	idle.Name, idle.Address, idle.Priority = "idle", storeAddress, 0
	d.routes = append(d.routes, idle)
	d.version++
	d.apply()
}

func TestTheLowestPriorityGivesWayFirst(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	d.withIdleRoute()
	d.answers(watchAddress, 200, 60*time.Millisecond)
	d.answers(watchAddress, 20, 180*time.Millisecond)
	d.await(2)
	d.expect(d.caller(watchAddress).syn(), Reset, Overloaded)
	d.expect(d.caller(orderAddress).syn(), Forward, Opened)
}

func TestOtherPrioritiesGiveWayWhileNearlyAllAnswersAreSlow(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	d.withIdleRoute()
	d.answers(watchAddress, 200, 60*time.Millisecond)
	d.answers(watchAddress, 80, 180*time.Millisecond)
	d.await(2)
	d.expect(d.caller(orderAddress).syn(), Reset, Overloaded)
	d.expect(d.caller(storeAddress).syn(), Forward, Opened)
}

func TestAPriorityWithoutTrafficIsNotTheLowest(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	d.withIdleRoute()
	d.answers(watchAddress, 200, 60*time.Millisecond)
	d.pass(2 * latelyFor)
	d.answers(orderAddress, 20, 180*time.Millisecond)
	d.await(2)
	d.expect(d.caller(orderAddress).syn(), Reset, Overloaded)
}
