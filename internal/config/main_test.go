package config_test

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

// TestMain fixes the seed and the number of checks of the rapid tests, so that runs are
// reproducible unless flags on the command line override them.
func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 20261203, Checks: 300})
	os.Exit(m.Run())
}
