package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

const edgeFile = `[host]
id = casa-quay-1
data_centre = casa-quay
region = west
[listen]
packet = 10.0.0.1:7001
peer = 10.0.0.1:7002
ready = 10.0.0.1:7003
[store]
address = 10.0.0.9:2379
`

// TestZones guards against regions of data centres that are lost, and against a file from
// before they existed that is refused.
func TestZones(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "edge.ini")
	load := func(zones string) (Edge, error) {
		g.Expect(os.WriteFile(path, []byte(edgeFile+zones), 0o600)).To(Succeed())
		return LoadEdge(path)
	}
	for zones, want := range map[string]map[string]string{
		"": nil, "[zones]\n": nil,
		"[zones]\ncasa-quay = west\ncasa-mole-2 = east\n": {"casa-quay": "west", "casa-mole-2": "east"},
	} {
		s, err := load(zones)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Zones).To(HaveLen(len(want)))
		for dataCentre, region := range want {
			g.Expect(s.Zones).To(HaveKeyWithValue(dataCentre, region))
		}
	}
	_, err := load("[zones]\ncasa-quay =\n")
	g.Expect(err).To(MatchError(ContainSubstring("zones.casa-quay")))
	many := "[zones]\n"
	for i := range 65 {
		many += fmt.Sprintf("dc-%d = region-%d\n", i, i)
	}
	_, err = load(many)
	g.Expect(err).To(MatchError(ContainSubstring("65 regions are too many")))
}
