// Command rig plays a case of the review: it starts the daemon on a few hosts, stands in for
// the platform, its targets and its clients, and judges by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 117 * time.Second

// cases are the cases by name.
var cases = map[string]func(*rig) error{
	"host-freeze":    hostFreeze,
	"target-restart": targetRestart,
}

func main() { os.Exit(run()) }

func run() int {
	daemon := flag.String("daemon", "target/oatlatchd", "the daemon")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory for the logs of the hosts; they are not kept without it")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return exitFailed
	}
	r, err := newRig(*daemon, *record, *logs, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	end := sync.OnceFunc(r.close)
	defer end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		end()
		os.Exit(exitFailed)
	}()
	if err := play(r); err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if !r.judge() {
		return exitBroken
	}
	return exitHeld
}
