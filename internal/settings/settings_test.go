package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/settings"
)

// parse loads settings from INI text and flags, and checks them.
func parse(t *testing.T, text string, flags ...string) (*settings.Settings, *kong.Kong, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var s settings.Settings
	parser, err := kong.New(&s, kong.Configuration(settings.LoadINI))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = parser.Parse(append([]string{"--settings", path}, flags...)); err == nil {
		err = s.Check()
	}
	return &s, parser, err
}

// hostSection sets the required keys that have no default.
const hostSection = "[host]\nid = casa-quay-1\ndata_centre = casa-quay\nregion = casa-north\n"

func TestFileAndFlags(t *testing.T) {
	s, _, err := parse(t, hostSection+"[limits]\nqueue = 7\n[peers]\nseeds = 127.0.0.1:1,127.0.0.1:2\n", "--limits-workers=3")
	if err != nil {
		t.Fatal(err)
	}
	if s.Host.DataCentre != "casa-quay" || s.Limits.Queue != 7 || s.Limits.Workers != 3 || len(s.Peers.Seeds) != 2 {
		t.Errorf("file and flags not applied: %+v", s)
	}
	if s.Listen.Request.String() != "127.0.0.1:8080" {
		t.Errorf("default not applied: %v", s.Listen.Request)
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	s, _, err := parse(t, hostSection+"[limits]\nqueue = 7\n", "--limits-queue=9")
	if err != nil || s.Limits.Queue != 9 {
		t.Fatalf("want 9, got %d (%v)", s.Limits.Queue, err)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", hostSection + "[limits]\nflow = 1\n", "limits.flow: the key is unknown"},
		{"unknown section", hostSection + "[limit]\nflows = 1\n", "limit: the section is unknown"},
		{"missing data centre", "[host]\nid = a\nregion = r\n", "host.data_centre"},
		{"bad address", hostSection + "[listen]\npeer = here\n", "listen-peer"},
		{"unspecified address", hostSection + "[listen]\nrequest = 0.0.0.0:80\n", "listen.request"},
		{"peer without TLS beyond loopback", hostSection + "[listen]\npeer = 10.0.0.1:7401\n", "settings:tls: plain peer connections"},
		{"admin without TLS beyond loopback", hostSection + "[listen]\nadmin = 10.0.0.1:7402\n", "settings:tls: plain admin pages"},
		{"incomplete TLS settings", hostSection + "[tls]\nca = ca.pem\n", "settings:tls: only some"},
		{"no workers", hostSection + "[limits]\nworkers = 0\n", "limits.workers"},
		{"zero calls per second", hostSection + "[platform]\ncalls_per_second = 0\n", "platform.calls_per_second"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := parse(t, c.text)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("want an error with %q, got %v", c.want, err)
			}
		})
	}
}

func TestPrintedDefaultsAreValid(t *testing.T) {
	_, parser, _ := parse(t, hostSection)
	var out bytes.Buffer
	if err := settings.PrintDefaults(&out, parser.Model.Flags); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(out.String(), "[host]\n", hostSection, 1)
	if _, _, err := parse(t, text); err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
}
