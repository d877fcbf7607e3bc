package logquery

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const testLog = `  24.1 quay-1 time=2026-09-12T20:00:07Z level=info event=flow_opened flow=100.64.0.9:1025>198.18.0.1:80 host=quay-1 upstream=i-1 waiting=0
time=2026-09-12T20:00:06Z level=warn event=upstream_suspected host=quay-1 upstream=i-1 reason=repeated-packets
time=2026-09-12T20:00:06.5Z level=warn event=upstream_suspected host=quay-2 upstream=i-1 reason=repeated-packets
time=2026-09-12T20:00:06.2Z level=warn event=upstream_suspected host=quay-1 upstream=i-2 reason=repeated-packets
time=2026-09-12T19:59:00Z level=info event=upstream_added host=quay-1 upstream=i-1
time=2026-09-12T20:00:07.2Z level=info event=flow_opened flow=100.64.0.9:10259>198.18.0.1:80 host=quay-1 upstream=i-1
time=2026-09-12T20:00:08Z level=warn event=flow_reset flow=100.64.0.9:1025>198.18.0.1:80 host=quay-1 reason=unreachable upstream=i-1
time=2026-09-12T20:00:08.5Z level=warn event=source_lost error="dial tcp: no \"route\"" host=quay-1 source=store
panic: not a line of the log
time=2026-09-12T20:00:01Z level=info event=configuration_adopted host=quay-2 version=7 before=4
`

func readTestLog(t *testing.T) []Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(testLog))
	if err != nil || skipped != 1 {
		t.Fatalf("got %d skipped lines and error %v", skipped, err)
	}
	return lines
}

func hostsAndEvents(lines []Line) []string {
	var names []string
	for i := range lines {
		names = append(names, lines[i].Host+" "+lines[i].Event)
	}
	return names
}

func TestSelectFlow(t *testing.T) {
	g := NewWithT(t)
	for _, flow := range []string{"100.64.0.9:1025>198.18.0.1:80", "100.64.0.9:1025"} {
		g.Expect(hostsAndEvents(Select(readTestLog(t), Filter{Flow: flow}))).To(Equal([]string{
			"quay-1 upstream_suspected", "quay-1 flow_opened", "quay-1 flow_reset", "quay-1 source_lost",
		}), "the selection includes what the flow's host, but no other host, logged about its upstream")
	}
}

func TestSelectUpstream(t *testing.T) {
	g := NewWithT(t)
	selected := Select(readTestLog(t), Filter{Upstream: "i-1", Since: time.Date(2026, 9, 12, 20, 0, 0, 0, time.UTC)})
	g.Expect(hostsAndEvents(selected)).To(Equal([]string{
		"quay-1 upstream_suspected", "quay-2 upstream_suspected", "quay-1 flow_opened", "quay-1 flow_opened", "quay-1 flow_reset",
	}))
}

func TestSelectVersion(t *testing.T) {
	NewWithT(t).Expect(hostsAndEvents(Select(readTestLog(t), Filter{Version: "7"}))).To(Equal([]string{"quay-2 configuration_adopted"}))
}

func TestParseQuotedValue(t *testing.T) {
	g := NewWithT(t)
	line, ok := Parse(`time=2026-09-12T20:00:08.5Z level=warn event=source_lost error="dial tcp: no \"route\"" host=quay-1`)
	g.Expect(ok).To(BeTrue())
	g.Expect(line.Get("error")).To(Equal(`dial tcp: no "route"`))
	g.Expect(line.Host).To(Equal("quay-1"))
}

func TestSummarizeAndPrint(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Summarize(readTestLog(t))[0]).To(Equal(Count{Event: "upstream_suspected", Reason: "repeated-packets", Lines: 3}))
	var out strings.Builder
	g.Expect(Print(&out, Select(readTestLog(t), Filter{Flow: "100.64.0.9:1025"}))).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("+2.000s quay-1                   flow_reset"))
}

func FuzzParse(f *testing.F) {
	for _, line := range strings.Split(testLog, "\n") {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if line, ok := Parse(text); ok && (line.Event == "" || line.Time.IsZero()) {
			t.Fatalf("%q was accepted without an event or a time", text)
		}
	})
}
