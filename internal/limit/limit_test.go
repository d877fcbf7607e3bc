package limit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/host"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{Seed: 5, Checks: 400})
	os.Exit(m.Run())
}

func hostIDs(n int) []host.ID {
	ids := make([]host.ID, n)
	for i := range ids {
		ids[i] = host.ID(fmt.Sprintf("entry-%02d", i))
	}
	return ids
}

func drawDemands(t *rapid.T) []Demand {
	demands := make([]Demand, rapid.IntRange(1, 8).Draw(t, "upstreams"))
	for i := range demands {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		demands[i] = Demand{Slots: slots, Open: slots}
	}
	return demands
}

func TestHostsThatAgreeDivideEverySlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := hostIDs(rapid.IntRange(1, 12).Draw(t, "hosts"))
		demands := drawDemands(t)
		offset := rapid.IntRange(0, 1<<30).Draw(t, "offset")
		total := make([]int, len(demands))
		owners := make(map[host.ID]bool)
		for _, id := range ids {
			for i, share := range NewGroup(id, ids, ids).Shares(offset, demands) {
				total[i] += share
				if share > 0 {
					owners[id] = true
				}
			}
		}
		for i, d := range demands {
			if total[i] != d.Slots {
				t.Fatalf("upstream %d: %d of %d slots are handed out", i, total[i], d.Slots)
			}
		}
		delete(owners, ids[0])
		if lenders := NewGroup(ids[0], ids, ids).Lenders(offset, demands); len(lenders) != len(owners) {
			t.Fatalf("owners %v, lenders %v", owners, lenders)
		}
	})
}

func TestRampOpensTheSameSlotsOnEveryHost(t *testing.T) {
	ids := hostIDs(5)
	for open := 1; open <= 3; open++ {
		total := 0
		for _, id := range ids {
			total += NewGroup(id, ids, ids).Shares(2, []Demand{{Slots: 3, Open: open}})[0]
		}
		if total != open {
			t.Errorf("%d open slots are handed out as %d", open, total)
		}
	}
}

func TestHostsThatDisagreeStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := hostIDs(rapid.IntRange(1, 12).Draw(t, "hosts"))
		demands := drawDemands(t)
		total := make([]int, len(demands))
		for _, id := range ids {
			active := []host.ID{id}
			for _, other := range ids {
				if rapid.Bool().Draw(t, "sees") {
					active = append(active, other)
				}
			}
			for i, share := range NewGroup(id, ids, active).Shares(3, demands) {
				total[i] += share
			}
		}
		for i, d := range demands {
			if total[i] > d.Slots+len(ids)-1 {
				t.Fatalf("upstream %d: %d requests at %d slots and %d hosts", i, total[i], d.Slots, len(ids))
			}
		}
	})
}

func TestBudgetHoldsTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(DefaultRetryRatio)
		fresh, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "fresh") {
				budget.Fresh()
				fresh++
			} else if budget.Take() {
				retries++
			}
		}
		if float64(retries) > DefaultRetryRatio*float64(fresh)+firstRetryTokens+1e-6 {
			t.Fatalf("%d retries for %d fresh requests", retries, fresh)
		}
	})
}

func TestRampGrowsFromItsFloorToOne(t *testing.T) {
	for _, c := range []struct {
		up, duration time.Duration
		want         float64
	}{
		{0, 10 * time.Second, RampFloor}, {5 * time.Second, 10 * time.Second, 0.5},
		{10 * time.Second, 10 * time.Second, 1}, {0, 0, 1},
	} {
		if got := Ramp(c.up, c.duration); got != c.want {
			t.Errorf("Ramp(%v, %v) = %v, want %v", c.up, c.duration, got, c.want)
		}
	}
	if RampSlots(3, 0.1) != 1 || RampSlots(3, 0.5) != 2 || RampSlots(3, 1) != 3 || RampSlots(0, 0.1) != 0 {
		t.Error("RampSlots must grow from one to all slots")
	}
}
