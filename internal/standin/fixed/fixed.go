// Package fixed makes tests repeat: it fixes the seeds of the libraries that
// generate tests or order them.
package fixed

import (
	"flag"
	"fmt"
	"strconv"
)

// Options are the settings of generated tests. Zero leaves a library's default.
type Options struct {
	// Seed is rapid's.
	Seed uint64
	// Checks is how many tests rapid generates, Steps about how many actions each has.
	Checks int
	Steps  int
}

// orderSeed is ginkgo's seed for the order of specs.
const orderSeed = "1"

// Apply fixes what the command line does not give. It is called from TestMain,
// before the tests run.
func Apply(options Options) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] || value == "0" || flag.Lookup(name) == nil {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("the flag %s cannot be fixed: %v", name, err))
		}
	}
	set("rapid.seed", strconv.FormatUint(options.Seed, 10))
	set("rapid.checks", strconv.Itoa(options.Checks))
	set("rapid.steps", strconv.Itoa(options.Steps))
	set("rapid.nofailfile", "true")
	set("ginkgo.seed", orderSeed)
}
