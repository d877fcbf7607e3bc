package slottable_test

import (
	"fmt"
	"testing"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// activeUpstreams returns n active upstreams of weight 1.
func activeUpstreams(n int) []service.Upstream {
	upstreams := make([]service.Upstream, n)
	for i := range upstreams {
		upstreams[i] = service.Upstream{Name: fmt.Sprintf("desk-%02d", i), Weight: 1, State: service.AdminActive}
	}
	return upstreams
}

func TestBuildSharesSlotsByWeight(t *testing.T) {
	upstreams := activeUpstreams(14)
	upstreams[3].Weight = 3
	counts := make([]int, len(upstreams))
	for _, i := range slottable.Build([16]byte{1}, upstreams) {
		counts[i]++
	}
	for i, n := range counts {
		want := slottable.Slots * int(upstreams[i].Weight) / 16
		if n < want-2 || n > want+2 {
			t.Errorf("%s has %d slots, want %d plus or minus 2", upstreams[i].Name, n, want)
		}
	}
}

func TestDrainingMovesOnlyItsOwnSlots(t *testing.T) {
	upstreams := activeUpstreams(14)
	before := slottable.Build([16]byte{1}, upstreams)
	upstreams[5].State = service.AdminDraining
	after := slottable.Build([16]byte{1}, upstreams)
	for slot := range before {
		if after[slot] == 5 {
			t.Fatalf("slot %d still maps to the draining upstream", slot)
		}
		if before[slot] != 5 && after[slot] != before[slot] {
			t.Fatalf("slot %d moved from %d to %d", slot, before[slot], after[slot])
		}
	}
}

func TestBuildWithoutActiveUpstreamLeavesSlotsEmpty(t *testing.T) {
	upstreams := activeUpstreams(2)
	upstreams[0].State, upstreams[1].State = service.AdminDraining, service.AdminDraining
	for slot, i := range slottable.Build([16]byte{1}, upstreams) {
		if i != slottable.NoUpstream {
			t.Fatalf("slot %d maps to upstream %d, want none", slot, i)
		}
	}
}

// TestAddedUpstreamMovesFewSlots checks that adding an upstream moves at most four
// times as many slots as the new upstream receives.
func TestAddedUpstreamMovesFewSlots(t *testing.T) {
	upstreams := activeUpstreams(15)
	before := slottable.Build([16]byte{1}, upstreams[:14])
	after := slottable.Build([16]byte{1}, upstreams)
	moved := 0
	for slot := range before {
		if before[slot] != after[slot] {
			moved++
		}
	}
	t.Logf("%d of %d slots moved, %d had to move", moved, slottable.Slots, slottable.Slots/15)
	if moved > 4*slottable.Slots/15 {
		t.Errorf("%d slots moved, want at most four times the %d that had to move", moved, slottable.Slots/15)
	}
}

// BenchmarkRebuild builds the tables of 1,200 services with 3,300 upstreams in total.
func BenchmarkRebuild(b *testing.B) {
	two, three := activeUpstreams(2), activeUpstreams(3)
	for b.Loop() {
		for i := range 1200 {
			if i < 300 {
				slottable.Build([16]byte{1}, two)
			} else {
				slottable.Build([16]byte{1}, three)
			}
		}
	}
}
