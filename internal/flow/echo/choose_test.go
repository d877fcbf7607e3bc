package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

func TestNewFlowsGoWhereSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t, entry(1, testDC), entry(2, testDC))
	counts := make(map[catalog.UpstreamID]int)
	for range 6 {
		counts[d.caller(watchAddress).open().Upstream]++
	}
	g.Expect(counts).To(Equal(map[catalog.UpstreamID]int{1: 3, 2: 3}))
}

func TestFlowsStayInTheirDataCentreWhileItHasRoom(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t, entry(1, testDC), entry(2, otherDC))
	for range 3 {
		g.Expect(d.caller(watchAddress).open().Upstream).To(BeEquivalentTo(1), "it has a free slot")
	}
	counts := make(map[catalog.UpstreamID]int)
	for range 2 {
		counts[d.caller(watchAddress).open().Upstream]++
	}
	g.Expect(counts).To(Equal(map[catalog.UpstreamID]int{1: 1, 2: 1}), "as many wait here as are in use there")
}

func TestAnUpstreamThatWarmsUpGetsFewerFlows(t *testing.T) {
	g := NewWithT(t)
	warming := entry(1, testDC)
	warming.WarmUntil = start.Add(time.Minute)
	d := newDesk(t, warming, entry(2, testDC))
	counts := make(map[catalog.UpstreamID]int)
	for range 32 {
		counts[d.caller(orderAddress).open().Upstream]++
	}
	g.Expect(counts[1]).To(BeNumerically("<", counts[2]))
	g.Expect(counts[1]).To(BeNumerically(">", 8))
}

func TestUnderOverloadTheHighestPriorityIsServed(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t, entry(1, testDC))
	d.answers(watchAddress, 10, 60*time.Millisecond)
	admitted := 0
	for range 100 {
		if d.caller(watchAddress).syn().Verdict == Forward {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("~", 12, 2), "three slots of 60 ms serve about twelve requests within 250 ms")
	d.expect(d.caller(watchAddress).syn(), Reset, Overloaded)
	d.expect(d.caller(orderAddress).syn(), Forward, Opened)
}

func TestNothingIsRefusedWhileASlotIsFree(t *testing.T) {
	d := newDesk(t, entry(1, testDC), entry(2, otherDC))
	d.answers(watchAddress, 10, 400*time.Millisecond)
	d.pass(50 * time.Millisecond)
	d.expect(d.caller(watchAddress).syn(), Forward, Opened)
}
