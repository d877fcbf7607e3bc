package config_test

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

// TestMain fixes the seed of the stateful tests, so that every run is the same
// unless the command line says otherwise.
func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{Seed: 20261203, Checks: 300})
	os.Exit(m.Run())
}
