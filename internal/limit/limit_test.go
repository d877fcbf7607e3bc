package limit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/host"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 5, Checks: 400})
	os.Exit(m.Run())
}

// hostIDs returns n different host IDs.
func hostIDs(n int) []host.ID {
	ids := make([]host.ID, n)
	for i := range ids {
		ids[i] = host.ID(fmt.Sprintf("entry-%02d", i))
	}
	return ids
}

// drawCapacities draws the capacities of up to 8 upstreams without a slow start.
func drawCapacities(t *rapid.T) []Capacity {
	capacities := make([]Capacity, rapid.IntRange(1, 8).Draw(t, "upstreams"))
	for i := range capacities {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		capacities[i] = Capacity{Slots: slots, Usable: slots}
	}
	return capacities
}

func TestAgreeingHostsAssignEverySlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := hostIDs(rapid.IntRange(1, 12).Draw(t, "hosts"))
		capacities := drawCapacities(t)
		offset := rapid.IntRange(0, 1<<30).Draw(t, "offset")
		total := make([]int, len(capacities))
		holders := make(map[host.ID]bool)
		for _, id := range ids {
			for i, share := range NewGroup(id, ids, ids).Shares(offset, capacities) {
				total[i] += share
				if share > 0 {
					holders[id] = true
				}
			}
		}
		for i, capacity := range capacities {
			if total[i] != capacity.Slots {
				t.Fatalf("upstream %d: %d of %d slots are assigned", i, total[i], capacity.Slots)
			}
		}
		delete(holders, ids[0])
		if lenders := NewGroup(ids[0], ids, ids).Lenders(offset, capacities); len(lenders) != len(holders) {
			t.Fatalf("hosts with a share %v, lenders %v", holders, lenders)
		}
	})
}

func TestHostsAgreeOnUsableSlots(t *testing.T) {
	ids := hostIDs(5)
	for usable := 1; usable <= 3; usable++ {
		total := 0
		for _, id := range ids {
			total += NewGroup(id, ids, ids).Shares(2, []Capacity{{Slots: 3, Usable: usable}})[0]
		}
		if total != usable {
			t.Errorf("%d usable slots, but %d are assigned", usable, total)
		}
	}
}

func TestSharesOfDisagreeingHostsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := hostIDs(rapid.IntRange(1, 12).Draw(t, "hosts"))
		capacities := drawCapacities(t)
		total := make([]int, len(capacities))
		for _, id := range ids {
			active := []host.ID{id}
			for _, other := range ids {
				if rapid.Bool().Draw(t, "sees") {
					active = append(active, other)
				}
			}
			for i, share := range NewGroup(id, ids, active).Shares(3, capacities) {
				total[i] += share
			}
		}
		for i, capacity := range capacities {
			if total[i] > capacity.Slots+len(ids)-1 {
				t.Fatalf("upstream %d: %d of %d slots are assigned to %d hosts, more than the bound", i, total[i], capacity.Slots, len(ids))
			}
		}
	})
}

func TestRetryBudgetEnforcesRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget(DefaultRetryRatio)
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "fresh") {
				budget.RecordRequest()
				firstAttempts++
			} else if budget.TakeRetry() {
				retries++
			}
		}
		if float64(retries) > DefaultRetryRatio*float64(firstAttempts)+initialRetryTokens+1e-6 {
			t.Fatalf("%d retries for %d first attempts", retries, firstAttempts)
		}
	})
}

func TestRampGrowsFromMinRampToOne(t *testing.T) {
	for _, c := range []struct {
		uptime, duration time.Duration
		want             float64
	}{
		{0, 10 * time.Second, MinRamp}, {5 * time.Second, 10 * time.Second, 0.5},
		{10 * time.Second, 10 * time.Second, 1}, {0, 0, 1},
	} {
		if got := Ramp(c.uptime, c.duration); got != c.want {
			t.Errorf("Ramp(%v, %v) = %v, want %v", c.uptime, c.duration, got, c.want)
		}
	}
	if RampSlots(3, 0.1) != 1 || RampSlots(3, 0.5) != 2 || RampSlots(3, 1) != 3 || RampSlots(0, 0.1) != 0 {
		t.Error("RampSlots must grow from one to all slots")
	}
}
