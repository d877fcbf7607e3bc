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
)

// result has one window, so that its line has one point.
func result(pattern, policy string) experiment.Result {
	return experiment.Result{Pattern: pattern, Policy: policy, Windows: []experiment.Window{
		{At: 0, Worth: 1}, {At: 2 * time.Second, Worth: 0.5},
	}}
}

func TestEachPatternHasAPanelAndEachPolicyALine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	results := []experiment.Result{
		result("burst", "least-used"), result("burst", "random"), result("zone-cut", "least-used"),
	}
	g.Expect(Write(&out, results)).To(Succeed())
	text := out.String()
	for word, times := range map[string]int{"burst": 1, "zone-cut": 1, "least-used": 2, "random": 1} {
		g.Expect(strings.Count(text, ">"+word+"<")).To(Equal(times), word)
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

func TestNothingToDraw(t *testing.T) {
	if err := Write(io.Discard, nil); err == nil {
		t.Error("no error without results")
	}
}

// failingWriter takes nothing.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestAFailedWriteIsReported(t *testing.T) {
	if err := Write(failingWriter{}, []experiment.Result{result("burst", "random")}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("error %v", err)
	}
}
