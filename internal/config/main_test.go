package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the stateful tests, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
