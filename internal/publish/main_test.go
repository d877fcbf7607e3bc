package publish_test

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

// TestMain fixes the seed of the property-based tests, so that runs are reproducible
// unless the command line sets another seed.
func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 20261203})
	os.Exit(m.Run())
}
