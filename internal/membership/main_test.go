package membership

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.SetTestFlags(fixed.Options{Seed: 20261203, Checks: 1000, Steps: 40})
	goleak.VerifyTestMain(m)
}
