package publish_test

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

// TestMain fixes the seed of the property-based tests, so that runs are reproducible
// unless the command line sets another seed.
func TestMain(m *testing.M) {
	fixed.SetTestFlags(fixed.Options{Seed: 20261203})
	os.Exit(m.Run())
}
