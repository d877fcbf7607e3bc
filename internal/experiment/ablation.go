package experiment

import (
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Ablation compares the runs of a pattern without one mechanism to those with all. The
// numbers are means over several seeds.
type Ablation struct {
	Pattern   string
	Mechanism string
	// Worth and Failed are the worth and the fraction of failed requests with all
	// mechanisms, WorthWithout and FailedWithout those without this one.
	Worth, WorthWithout   float64
	Failed, FailedWithout float64
	// Spread is the difference between the largest and the smallest Worth of a seed.
	Spread float64
}

// Ablate runs the pattern with the seeds from options.Seed on, with all mechanisms and
// without each one.
func Ablate(p Pattern, options Options, seeds int) []Ablation {
	worth, failed, spread := meanOf(p, options, seeds)
	var all []Ablation
	for _, m := range echo.Mechanisms() {
		without := options
		without.Without |= 1 << m
		a := Ablation{Pattern: p.Name, Mechanism: m.String(), Worth: worth, Failed: failed, Spread: spread}
		a.WorthWithout, a.FailedWithout, _ = meanOf(p, without, seeds)
		all = append(all, a)
	}
	return all
}

// meanOf returns the mean worth and the mean fraction of failed requests of the runs, and
// the spread of the worth.
func meanOf(p Pattern, options Options, seeds int) (worth, failed, spread float64) {
	least, most := 1.0, 0.0
	for range seeds {
		r := Run(p, echo.LeastUsed, options)
		worth += r.Worth / float64(seeds)
		failed += float64(r.Failed) / float64(r.Requests) / float64(seeds)
		least, most = min(least, r.Worth), max(most, r.Worth)
		options.Seed++
	}
	return worth, failed, max(0, most-least)
}
