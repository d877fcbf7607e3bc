package oatlatch_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/oatlatch/oatlatch"
)

func ExampleCollect() {
	services, err := oatlatch.Collect([]string{"examples/amarres"})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, s := range services {
		fmt.Println(s.Name, s.Address, len(s.Upstreams))
	}
	// Output:
	// berth-desk 203.0.113.10:443 14
	// plan-store 203.0.113.11:443 4
}

func ExampleCollect_problems() {
	dir, err := os.MkdirTemp("", "services")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "berth-desk.oatlatch")
	if err := os.WriteFile(path, []byte("[service]\nname = Berth\n"), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	_, err = oatlatch.Collect([]string{dir})
	var problems oatlatch.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Printf("%s.%s: %s\n", p.Section, p.Key, p.Remedy)
		}
	}
	// Output:
	// service.name: write lower-case letters, digits and hyphens, at most 63, such as berth-desk
	// service.region: write region = casa-north
	// service.address: write address = 203.0.113.10:443
	// upstream.: add an [upstream NAME] section for each target
}

func ExampleNewHost() {
	_, err := oatlatch.NewHost(oatlatch.HostOptions{})
	var problems oatlatch.Problems
	fmt.Println(errors.As(err, &problems), len(problems) > 0)
	// Output: true true
}
