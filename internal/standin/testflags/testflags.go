// Package testflags makes test runs reproducible: it sets fixed seeds for rapid, which
// generates the inputs of property tests, and for ginkgo, which shuffles specs.
package testflags

import (
	"flag"
	"fmt"
	"strconv"
)

// Options configures rapid's property tests. A zero field keeps rapid's default.
type Options struct {
	// Seed seeds the random number generator.
	Seed uint64
	// Checks is the number of test cases generated for each property.
	Checks int
	// Steps is the average number of actions in a state machine test.
	Steps int
}

// ginkgoSeed seeds the order in which ginkgo runs specs.
const ginkgoSeed = "1"

// SetTestFlags parses the command line and sets the test flags of rapid and ginkgo that
// it doesn't give. Flags of a library that the test binary doesn't link are
// skipped. It also stops rapid from writing failing cases to files. Call it from
// TestMain before the tests run.
func SetTestFlags(options Options) {
	flag.Parse()
	givenFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { givenFlags[f.Name] = true })
	setDefault := func(name, value string) {
		if givenFlags[name] || value == "0" || flag.Lookup(name) == nil {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("cannot set test flag %s: %v", name, err))
		}
	}
	setDefault("rapid.seed", strconv.FormatUint(options.Seed, 10))
	setDefault("rapid.checks", strconv.Itoa(options.Checks))
	setDefault("rapid.steps", strconv.Itoa(options.Steps))
	setDefault("rapid.nofailfile", "true")
	setDefault("ginkgo.seed", ginkgoSeed)
}
