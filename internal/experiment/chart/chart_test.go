package chart

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/experiment"
	"github.com/oatlatch/oatlatch/internal/experiment/lag"
)

// result returns a result with two windows.
func result(pattern, policy string) experiment.Result {
	return experiment.Result{Pattern: pattern, Policy: policy, Windows: []experiment.Window{
		{At: 0, Worth: 1}, {At: 2 * time.Second, Worth: 0.5},
	}}
}

func TestWriteDrawsAPanelPerPatternAndALinePerPolicy(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	results := []experiment.Result{
		result("burst", "least-used"), result("burst", "random"), result("zone-cut", "least-used"),
	}
	g.Expect(Write(&out, results)).To(Succeed())
	svg := out.String()
	for label, count := range map[string]int{"burst": 1, "zone-cut": 1, "least-used": 2, "random": 1} {
		g.Expect(strings.Count(svg, ">"+label+"<")).To(Equal(count), label)
	}
	decoder := xml.NewDecoder(&out)
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("the chart is not well-formed XML: %v", err)
		}
	}
}

func TestWriteFailsWithoutResults(t *testing.T) {
	if err := Write(io.Discard, nil); err == nil {
		t.Error("no error without results")
	}
}

func TestWriteLagDrawsALinePerQuantile(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	r := lag.Result{Measured: 3, Samples: []lag.Sample{{}, {At: time.Second, Median: 1, P99: 2, Max: time.Second}}}
	g.Expect(WriteLag(&out, r)).To(Succeed())
	for _, label := range []string{"lag of 3 hosts", "median", "99%", "all"} {
		g.Expect(out.String()).To(ContainSubstring(">" + label + "<"))
	}
	g.Expect(WriteLag(io.Discard, lag.Result{})).NotTo(Succeed())
	g.Expect(WriteLag(failingWriter{}, r)).To(MatchError(io.ErrClosedPipe))
}

// failingWriter fails on every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestWriteReturnsTheErrorOfTheWriter(t *testing.T) {
	if err := Write(failingWriter{}, []experiment.Result{result("burst", "random")}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got error %v, want io.ErrClosedPipe", err)
	}
}
