package membership

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.checks": "1000", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
