package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// Guards against an evacuation that is said to be in force everywhere while a host is
// missing for which another counts twice, against a second line, and against lines of hosts
// that do not know all others.
func TestEvacuationProgress(t *testing.T) {
	type step struct {
		after                   time.Duration
		known, counted, inForce int
		completed               int
	}
	all, twice := []step{{0, 3, 3, 2, 0}, {time.Second, 3, 3, 3, 0}, {evidence.ReportTTL, 3, 3, 3, 1}, {time.Minute, 3, 3, 3, 0}, {0, 3, 2, 2, 0}, {0, 3, 3, 3, 0}, {time.Minute, 3, 3, 3, 0}}, []step{{0, 3, 3, 3, 0}, {evidence.ReportTTL - 1, 3, 2, 2, 0}, {1, 3, 3, 3, 0}, {evidence.ReportTTL - 1, 3, 3, 3, 0}, {1, 3, 3, 3, 1}}
	missing := []step{{0, 3, 2, 2, 0}, {time.Minute, 3, 2, 2, 0}, {time.Second, 2, 2, 2, 0}, {evidence.ReportTTL, 2, 2, 2, 1}}
	for _, test := range []struct {
		name, self string
		steps      []step
	}{
		{"all", "a", all}, {"counted twice", "a", twice}, {"missing", "a", missing}, {"not first", "b", []step{{0, 3, 3, 3, 0}, {time.Minute, 3, 3, 3, 0}}},
	} {
		g, now, p := NewWithT(t), time.Unix(1_000_000, 0), evacuationProgress{}
		for i, s := range test.steps {
			now = now.Add(s.after)
			p.setView(&catalog.View{Hosts: []catalog.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}[:s.known]}, test.self)
			completed := p.update(now, &evidence.Sums{Hosts: s.counted, Evacuations: []evidence.EvacuationSum{{DataCentre: "bay", Hosts: s.inForce}}})
			g.Expect(completed).To(HaveLen(s.completed), "%s, step %d", test.name, i)
			for _, c := range completed {
				g.Expect(now.Sub(c.at)).To(Equal(evidence.ReportTTL), "the time at which all had it")
			}
		}
	}
}
