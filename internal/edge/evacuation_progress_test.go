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
		logged                  bool
	}
	for name, test := range map[string]struct {
		self  string
		steps []step
	}{
		"all, once":    {"a", []step{{0, 3, 3, 2, false}, {time.Second, 3, 3, 3, false}, {evidence.ReportTTL, 3, 3, 3, true}, {time.Minute, 3, 3, 3, false}, {0, 3, 2, 2, false}, {time.Minute, 3, 3, 3, false}, {time.Minute, 3, 3, 3, false}}},
		"double count": {"a", []step{{0, 3, 3, 3, false}, {evidence.ReportTTL - 1, 3, 2, 2, false}, {1, 3, 3, 3, false}, {evidence.ReportTTL - 1, 3, 3, 3, false}, {1, 3, 3, 3, true}}},
		"host missing": {"a", []step{{0, 3, 2, 2, false}, {time.Minute, 3, 2, 2, false}, {time.Second, 2, 2, 2, false}, {evidence.ReportTTL, 2, 2, 2, true}}},
		"not first":    {"b", []step{{0, 3, 3, 3, false}, {time.Minute, 3, 3, 3, false}}},
		"no view":      {"a", []step{{0, 0, 1, 1, false}, {time.Minute, 0, 1, 1, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			g, now := NewWithT(t), time.Unix(1_000_000, 0)
			var p evacuationProgress
			for i, s := range test.steps {
				now = now.Add(s.after)
				p.setView(&catalog.View{Hosts: []catalog.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}[:s.known]}, test.self)
				completed := p.update(now, &evidence.Sums{Hosts: s.counted, Evacuations: []evidence.EvacuationSum{{DataCentre: "bay", Hosts: s.inForce}}})
				g.Expect(completed).To(HaveLen(map[bool]int{true: 1}[s.logged]), "step %d", i)
				if s.logged {
					g.Expect(now.Sub(completed[0].at)).To(Equal(evidence.ReportTTL), "the time at which all had it")
				}
			}
		})
	}
}
