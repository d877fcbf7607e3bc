package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/logging"
)

func TestOneLineOfKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug().Msg("hidden")
	logger.Info().Str("event", "by_field").Send()
	if line := out.String(); !strings.Contains(line, "level=info event=by_field") {
		t.Errorf("an event set as a field is not printed as the event: %q", line)
	}
	out.Reset()
	logger.Info().Str("service", "berth desk\nx").Int("version", 7).Msg("configuration adopted")
	line := out.String()
	if strings.Count(line, "\n") != 1 {
		t.Fatalf("got %q, want one line", line)
	}
	for _, pair := range []string{"time=", "level=info", `event="configuration adopted"`, `service="berth desk\nx"`, "version=7"} {
		if !strings.Contains(line, pair) {
			t.Errorf("%s is missing from %q", pair, line)
		}
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := logging.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Fatal("got no error for an unknown level")
	}
}
