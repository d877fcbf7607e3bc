package lag

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// short returns the options of a run of few hosts.
func short() Options {
	o := DefaultOptions()
	o.DataCentres, o.Hosts, o.Duration = 3, 12, 8*time.Second
	return o
}

// TestRunDependsOnItsOptionsAlone guards against failures that a seed does not reproduce.
func TestRunDependsOnItsOptionsAlone(t *testing.T) {
	g := NewWithT(t)
	o := short()
	o.FaultyHosts, o.FaultyStores = 0.3, 0.3
	first := Run(o)
	g.Expect(Run(o)).To(Equal(first))
	o.Seed++
	g.Expect(Run(o)).NotTo(Equal(first))
}

// TestLagIsMeasured guards against a measurement that sees no lag: the only source of new
// knowledge of a data centre falls silent.
func TestLagIsMeasured(t *testing.T) {
	g := NewWithT(t)
	o := short()
	o.DataCentres, o.Hosts = 2, 2
	g.Expect(Run(o).Worst).To(BeNumerically("<", 3*time.Second))
	o.StoreFault, o.HostFault = map[string]Fault{"dc-1-host-0": Silent}, map[string]Fault{"dc-0-host-0": Silent}
	r := Run(o)
	g.Expect(r.Measured).To(Equal(1))
	g.Expect(r.Worst).To(BeZero(), "no host that works knows more")
	o.HostFault = nil
	r = Run(o)
	g.Expect(r.WorstHost).To(Equal("dc-1-host-0"))
	g.Expect(r.Worst).To(BeNumerically(">", 0))
}

func TestOptionsAreChecked(t *testing.T) {
	g := NewWithT(t)
	o := DefaultOptions()
	g.Expect(o.Validate()).To(Succeed())
	o.Hosts = o.DataCentres - 1
	g.Expect(o.Validate()).NotTo(Succeed())
}
