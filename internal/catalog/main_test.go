package catalog

import (
	"os"
	"testing"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 20261204, Checks: 400})
	os.Exit(m.Run())
}
