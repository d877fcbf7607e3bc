package edge

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/settings"
)

const testSettings = `[host]
id = quay-1
data_centre = quay

[listen]
packet = 127.0.0.1:7001
peer = 127.0.0.1:7002
ready = 127.0.0.1:7003
metrics =

[store]
address = 127.0.0.1:7004
apply_within = 3000ms,5000ms

[stop]
time_limit = 6s
`

// writeTempSettings writes a settings file and returns its path.
func writeTempSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.ini")
	writeFile(t, path, text)
	return path
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestLoadSettingsFile(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadEdge(writeTempSettings(t, testSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Store.ShortestApplyWithin()).To(Equal(3 * time.Second))
	g.Expect(s.Listen.Metrics.IsValid()).To(BeFalse())
	_, err = settings.LoadEdge(writeTempSettings(t, testSettings+"speed = 9\n"))
	g.Expect(err).To(MatchError(ContainSubstring("speed")))
	_, err = settings.LoadEdge(writeTempSettings(t, strings.Replace(testSettings, "127.0.0.1:7004", "nowhere", 1)))
	g.Expect(err).To(HaveOccurred())
}

func TestReloader(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	var applied []settings.Edge
	var applyErr error
	path := writeTempSettings(t, testSettings)
	r := NewReloader(path, func(s settings.Edge) error { applied = append(applied, s); return applyErr }, zerolog.New(&log))

	r.reload("file", false)
	g.Expect(applied).To(BeEmpty(), "an unchanged file is not applied")

	writeFile(t, path, strings.Replace(testSettings, "7004", "7999", 1))
	r.reload("file", false)
	g.Expect(applied).To(HaveLen(1))
	g.Expect(applied[0].Store.Address.Port()).To(BeEquivalentTo(7999))

	writeFile(t, path, "[host]\nid = ?\n")
	r.reload("file", false)
	g.Expect(applied).To(HaveLen(1), "an invalid file changes nothing")
	g.Expect(strings.Count(log.String(), "settings_refused")).To(Equal(1))
	r.reload("file", false)
	g.Expect(strings.Count(log.String(), "settings_refused")).To(Equal(1), "an invalid file is logged once")
	r.reload("signal", true)
	g.Expect(strings.Count(log.String(), "settings_refused")).To(Equal(2), "a requested reload is always answered")

	writeFile(t, path, testSettings)
	applyErr = &RestartRequiredError{Key: "listen.packet"}
	r.reload("file", false)
	g.Expect(log.String()).To(ContainSubstring("settings:listen.packet cannot change while the host runs"))
	g.Expect(os.Remove(path)).To(Succeed())
	r.reload("file", false)
	g.Expect(applied).To(HaveLen(2), "a file that is missing, as while it is replaced, changes nothing")
}

// TestReloaderOfAnUnreadableFile guards against a change that is lost because the file was
// replaced between two reads of it, and against a file that cannot be read without a word.
func TestReloaderOfAnUnreadableFile(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	applied := 0
	path := writeTempSettings(t, testSettings)
	r := NewReloader(path, func(settings.Edge) error { applied++; return nil }, zerolog.New(&log))
	changed := strings.Replace(testSettings, "7004", "7999", 1)
	writeFile(t, path, changed)
	r.load = func(path string) (settings.Edge, error) {
		g.Expect(os.Remove(path)).To(Succeed())
		return settings.LoadEdge(path)
	}
	r.reload("file", false)
	g.Expect(log.String()).To(BeEmpty())
	r.load = settings.LoadEdge
	writeFile(t, path, changed)
	r.reload("file", false)
	g.Expect(applied).To(Equal(1))

	g.Expect(os.Remove(path)).To(Succeed())
	g.Expect(os.Mkdir(path, 0o700)).To(Succeed())
	r.reload("file", false)
	r.reload("file", false)
	g.Expect(strings.Count(log.String(), "settings_refused")).To(Equal(1))
}

func TestRestartRequired(t *testing.T) {
	before, err := settings.LoadEdge(writeTempSettings(t, testSettings))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		from, to, key string
	}{
		{"id = quay-1", "id = quay-2", "host.id"},
		{"packet = 127.0.0.1:7001", "packet = 127.0.0.1:7999", "listen.packet"},
		{"data_centre = quay", "data_centre = quay\nregion = north", ""},
		{"address = 127.0.0.1:7004", "address = 127.0.0.1:7999", ""},
		{"time_limit = 6s", "time_limit = 9s", ""},
	}
	for _, test := range tests {
		after, err := settings.LoadEdge(writeTempSettings(t, strings.Replace(testSettings, test.from, test.to, 1)))
		if err != nil {
			t.Fatal(err)
		}
		var restartErr *RestartRequiredError
		got := ""
		if errors.As(checkRestartRequired(&before, &after), &restartErr) {
			got = restartErr.Key
		}
		if got != test.key {
			t.Errorf("%s: needs a restart for %q, want %q", test.to, got, test.key)
		}
	}
}

// TestWarmupSettings guards against a settings file that is refused because the platform
// has no figures for warm-up, which leaves the section empty.
func TestWarmupSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadEdge(writeTempSettings(t, testSettings+"\n[warmup]\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Warmup).To(Equal(settings.EdgeWarmup{Overage: 1}))
	s, err = settings.LoadEdge(writeTempSettings(t, testSettings+"\n[warmup]\noverage = 1.5\nslack = 5\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Warmup).To(Equal(settings.EdgeWarmup{Overage: 1.5, Slack: 5}))
}
