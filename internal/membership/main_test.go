package membership

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 20261203, Checks: 1000, Steps: 40})
	goleak.VerifyTestMain(m)
}
