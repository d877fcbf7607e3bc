package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/oatlatch/oatlatch/internal/experiment"
)

// TestBoundRefusesOptionsOutOfRange guards against a run with options that the other
// verbs refuse.
func TestBoundRefusesOptionsOutOfRange(t *testing.T) {
	tests := []struct{ arguments, want string }{
		{"nonsense", "unknown pattern"},
		{"overload --policy nonsense", "unknown policy"},
		{"overload --load 4", "load 4"},
		{"overload --slots 0", "0 slots"},
		{"overload --seconds 5", "duration 5s"},
		{"overload --timeout 10ms", "timeout 10ms"},
		{"overload --without nonsense", "nonsense"},
		{"overload --worst=-1", "worst windows"},
	}
	for _, test := range tests {
		var command experimentCommand
		parser, err := kong.New(&command)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := parser.Parse(append([]string{"bound"}, strings.Fields(test.arguments)...))
		if err != nil {
			t.Fatal(err)
		}
		if err := parsed.Run(); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want one with %q", test.arguments, err, test.want)
		}
	}
}

// TestBoundTableNamesEachCause guards against a column that is shifted against its heading.
func TestBoundTableNamesEachCause(t *testing.T) {
	row := experiment.BoundRow{Kind: experiment.Kind{Flows: experiment.LongFlows, Priority: 2}, Due: 7, InTime: 5, Refused: 2, Causes: map[experiment.Cause]int{experiment.Refused: 2}}
	var b strings.Builder
	if err := printBound(&b, experiment.Bound{Total: []experiment.BoundRow{row}}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(b.String(), "\n")
	for _, column := range []struct{ name, want string }{{"due", "7"}, {"  refused  held", "  2"}, {"full", "-"}, {"syn-copied", "-"}} {
		if at := strings.Index(lines[0], column.name); at < 0 || !strings.HasPrefix(lines[1][at:], column.want) {
			t.Errorf("column %q does not have %q:\n%s", column.name, column.want, b.String())
		}
	}
}
