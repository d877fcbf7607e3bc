package catalog

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.SetTestFlags(fixed.Options{Seed: 20261204, Checks: 400})
	os.Exit(m.Run())
}
