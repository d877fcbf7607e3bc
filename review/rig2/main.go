// Program rig2 runs the scripted cases of the second review: it starts oatlatchd as separate
// processes on loopback addresses, with stand-ins for the platform's store and routers, the
// targets and the clients in its own process.
//
//	rig2 CASE DIRECTORY
//
// It writes what was sent, answered and run to DIRECTORY/record.txt. With TROUBLE=0 in the
// environment, it leaves out the disruption. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name. Each returns errBroken if its rule was broken.
var cases = map[string]func(r *rig, trouble bool) error{
	"cold-take-back": coldTakeBack,
	"drain-slow":     drainSlow,
	"burst-slow":     burstSlow,
	"moved-route":    movedRoute,
	"foreign-entry":  foreignEntry,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIRECTORY")
		return 2
	}
	r, err := newRig(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return 1
	default:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
}
