package edge

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// loggingSources are the source files whose events an edge host logs.
var loggingSources = []string{
	"*.go", "../feed/*.go", "../gossip/*.go", "../catalogrpc/*.go", "../registration/*.go", "../peer/*.go", "../logging/*.go",
	"../forward/echo*.go", "../forward/socket.go", "../../cmd/oatlatchd/edge.go", "../../cmd/oatlatchd/signals.go",
}

// The patterns match log calls, the event constants of package forward and the event
// names in the tables of docs/operating/logs.md.
var (
	messagePattern   = regexp.MustCompile(`Msg\("([a-z_]+)"\)`)
	constantPattern  = regexp.MustCompile(`\tflow[A-Z][a-z]+ += "([a-z_]+)"`)
	eventNamePattern = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+|started|ready|stopping|stopped|registered|unregistered)`")
)

// TestEveryEventIsDocumented checks that the operators' page on logs lists every event
// that the code logs, and no other.
func TestEveryEventIsDocumented(t *testing.T) {
	events := make(map[string]bool)
	for _, kind := range echo.EventKinds() {
		events[kind.String()] = true
	}
	for _, kind := range catalog.EventKinds() {
		events[kind.String()] = true
	}
	for _, pattern := range loggingSources {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, error %v", pattern, err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				collectEvents(t, file, events)
			}
		}
	}
	documented := documentedEvents(t)
	for event := range events {
		if !documented[event] {
			t.Errorf("%s is logged but not in docs/operating/logs.md", event)
		}
	}
	for event := range documented {
		if !events[event] {
			t.Errorf("%s is in docs/operating/logs.md but never logged", event)
		}
	}
}

// collectEvents adds the names of the events that a source file logs.
func collectEvents(t *testing.T, file string, events map[string]bool) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range []*regexp.Regexp{messagePattern, constantPattern} {
		for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
			events[match[1]] = true
		}
	}
}

// documentedEvents returns the names in the first column of the event tables in
// docs/operating/logs.md.
func documentedEvents(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile("../../docs/operating/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	inEvents := false
	for _, line := range strings.Split(string(text), "\n") {
		switch {
		case !strings.HasPrefix(line, "|"):
			inEvents = false
		case strings.HasPrefix(line, "| event"):
			inEvents = true
		case inEvents:
			first := strings.Split(line, "|")[1]
			for _, match := range eventNamePattern.FindAllStringSubmatch(first, -1) {
				documented[match[1]] = true
			}
		}
	}
	return documented
}

// TestEveryReasonIsDocumented checks that the operators' page on logs names every
// reason of a reset or drop.
func TestEveryReasonIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../docs/operating/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	excluded := map[echo.Reason]bool{
		echo.Known: true, echo.Echoed: true, // never logged
		echo.OpenedElsewhere: true, echo.Malformed: true, echo.SendFailed: true, // events of their own
	}
	for _, reason := range echo.Reasons() {
		if !excluded[reason] && !strings.Contains(string(text), "`"+reason.String()+"`") {
			t.Errorf("reason %s is not in docs/operating/logs.md", reason)
		}
	}
}
