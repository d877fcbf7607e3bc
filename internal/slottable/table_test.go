package slottable_test

import (
	"fmt"
	"testing"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// activeUpstreams returns n active upstreams of weight 1.
func activeUpstreams(n int) []service.Upstream {
	list := make([]service.Upstream, n)
	for i := range list {
		list[i] = service.Upstream{Name: fmt.Sprintf("desk-%02d", i), Weight: 1, State: service.AdminActive}
	}
	return list
}

func TestBuildSharesSlotsByWeight(t *testing.T) {
	list := activeUpstreams(14)
	list[3].Weight = 3
	counts := make([]int, len(list))
	for _, i := range slottable.Build([16]byte{1}, list) {
		counts[i]++
	}
	for i, n := range counts {
		want := slottable.Slots * int(list[i].Weight) / 16
		if n < want-2 || n > want+2 {
			t.Errorf("%s has %d slots, want %d plus or minus 2", list[i].Name, n, want)
		}
	}
}

func TestDrainingMovesOnlyItsOwnSlots(t *testing.T) {
	list := activeUpstreams(14)
	before := slottable.Build([16]byte{1}, list)
	list[5].State = service.AdminDraining
	after := slottable.Build([16]byte{1}, list)
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
	list := activeUpstreams(2)
	list[0].State, list[1].State = service.AdminDraining, service.AdminDraining
	for slot, i := range slottable.Build([16]byte{1}, list) {
		if i != slottable.NoUpstream {
			t.Fatalf("slot %d maps to upstream %d, want none", slot, i)
		}
	}
}

// TestMovedSlotsOfAnAddedUpstream checks that adding an upstream moves at most four
// times as many slots as the new upstream receives.
func TestMovedSlotsOfAnAddedUpstream(t *testing.T) {
	list := activeUpstreams(15)
	before := slottable.Build([16]byte{1}, list[:14])
	after := slottable.Build([16]byte{1}, list)
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
