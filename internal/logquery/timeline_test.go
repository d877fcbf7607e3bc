package logquery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// adoptionLog returns the lines of hosts that adopt version 7 one millisecond after the
// other, in reverse order.
func adoptionLog(hosts int) string {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var text strings.Builder
	for i := hosts - 1; i >= 0; i-- {
		at := start.Add(time.Duration(i) * time.Millisecond)
		fmt.Fprintf(&text, "time=%s level=info event=configuration_adopted before=6 host=h-%03d version=7\n", at.Format(time.RFC3339Nano), i)
	}
	return text.String()
}

func timelinesOf(t *testing.T, text string) []Timeline {
	t.Helper()
	lines, _, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return Timelines(lines)
}

func TestTimelineOfAVersion(t *testing.T) {
	g := NewWithT(t)
	got := timelinesOf(t, adoptionLog(200))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0]).To(Equal(Timeline{
		Version: "7", Hosts: 200, First: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), FirstHost: "h-000", LastHost: "h-199",
		Median: 99 * time.Millisecond, P99: 197 * time.Millisecond, Last: 199 * time.Millisecond,
	}))
	var out strings.Builder
	g.Expect(PrintTimelines(&out, got)).To(Succeed())
	g.Expect(out.String()).To(Equal("03:04:05.000 version=7 hosts=200 started=0 first=h-000 median_ms=99 p99_ms=197 last_ms=199 last=h-199\n"))
}

// TestTimelineLeavesOutStarts covers hosts that start with a version long after it was
// published, and a host that adopts a version twice because it restarted.
func TestTimelineLeavesOutStarts(t *testing.T) {
	g := NewWithT(t)
	got := timelinesOf(t, adoptionLog(1)+`
time=2026-01-02T03:04:06Z level=info event=configuration_adopted before=6 host=h-000 version=7
time=2026-01-02T03:09:00Z level=info event=configuration_adopted before=0 host=h-001 version=7
time=2026-01-02T03:09:00Z level=info event=configuration_adopted before=0 host=h-002 version=8
time=2026-01-02T03:09:00Z level=info event=configuration_refused before=7 host=h-003 version=7
`)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Hosts).To(Equal(1))
	g.Expect(got[0].Started).To(Equal(1))
	g.Expect(got[0].Last).To(BeZero())
	g.Expect(timelinesOf(t, "")).To(BeEmpty())
}

// TestTimelineAcrossARestore covers versions that are adopted before and after the store came
// back from an older copy, the later one at a lower revision.
func TestTimelineAcrossARestore(t *testing.T) {
	g := NewWithT(t)
	const text = `
time=2026-01-02T03:04:05Z level=info event=configuration_adopted before=6 epoch=0 host=h-1 revision=90 version=7
time=2026-01-02T03:04:06Z level=info event=store_restored epoch=1 epoch_before=0 host=h-1 revision=40 revision_before=95
time=2026-01-02T03:04:06Z level=info event=configuration_refused before=7 epoch=1 host=h-1 revision=30 version=5
time=2026-01-02T03:04:07Z level=info event=configuration_adopted before=7 epoch=1 host=h-1 revision=50 version=9
time=2026-01-02T03:04:07.2Z level=info event=configuration_adopted before=7 epoch=1 host=h-2 revision=50 version=9
`
	got := timelinesOf(t, text)
	g.Expect(got).To(HaveLen(2), "the refused version was never in force")
	g.Expect(got[0].Version).To(Equal("7"))
	g.Expect(got[1].Version).To(Equal("9"))
	g.Expect(got[1].Hosts).To(Equal(2))
	g.Expect(got[1].Last).To(Equal(200 * time.Millisecond))
	lines, _, err := Read(strings.NewReader(text + "time=2026-01-02T03:04:06.5Z level=info event=flow_reset flow=100.64.0.9:1>198.18.0.1:80 host=h-1 reason=no-upstream\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostsAndEvents(Select(lines, Filter{Flow: "100.64.0.9:1"}))).To(ContainElement("h-1 store_restored"))
}

// TestTimelineOfEvacuations covers an evacuation that is repeated, a host that starts while
// it is in force, and lines that cannot be read, one of them too long for a log line.
func TestTimelineOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	var text strings.Builder
	log := func(second float64, host, fields string) {
		at := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
		fmt.Fprintf(&text, "time=%s level=info host=%s %s\n", at.Format(time.RFC3339Nano), host, fields)
	}
	log(0, "h-1", "event=started")
	log(0, "h-2", "event=started")
	for i, revision := range []int{40, 60} {
		for j, host := range []string{"h-1", "h-2"} {
			log(float64(10*i+j)+5, host, fmt.Sprintf("event=evacuation_requested data_centre=b epoch=0 revision=%d", revision))
			log(float64(10*i+j)+5.1, host, "event=evacuation_in_force data_centre=b open=3")
		}
	}
	for _, host := range []string{"h-1", "h-3"} {
		log(20, host, "event=started")
		log(21, host, "event=evacuation_requested data_centre=b epoch=0 revision=60")
		log(21, host, "event=evacuation_in_force data_centre=b open=0")
	}
	lines, skipped, err := Read(strings.NewReader("time=" + strings.Repeat("x", maxLineBytes+1) + "\npanic\n" + text.String()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(2))
	got := EvacuationTimelines(Select(lines, Filter{}))
	g.Expect(got).To(HaveLen(2))
	for i := range got {
		g.Expect([]any{got[i].Hosts, got[i].FirstHost, got[i].LastHost, got[i].Last}).To(Equal([]any{2, "h-1", "h-2", time.Second}))
	}
	g.Expect(got[1].Started).To(Equal(1), "h-3; h-1 had it in force before it restarted")
	var out strings.Builder
	g.Expect(PrintTimelines(&out, got[1:])).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring(" evacuation=b revision=60 hosts=2 started=1 first=h-1"))
}
