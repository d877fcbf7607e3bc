package idle

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Result is what the hosts cost.
type Result struct {
	// Hosts are the costs by host.
	Hosts []HostCost
	// StoreCalls are the calls a second of all hosts together to the store.
	StoreCalls float64
}

// HostCost is what one host cost.
type HostCost struct {
	Host string
	// Cores is the processor time in cores, and Wakeups the number of times a second that a
	// thread waited.
	Cores, Wakeups float64
	// PeakMB is the peak of the resident memory in MB.
	PeakMB float64
	// Files is the number of open files, and Connections that of those to and from hosts.
	Files, Connections int
	// Calls and Bytes are those a second, by side and method.
	Calls, Bytes map[string]float64
}

// newResult returns the costs between two samples of each host.
func newResult(options Options, before, after []sample, storeCalls int) Result {
	r := Result{StoreCalls: float64(storeCalls) / options.Duration.Seconds()}
	for i := range after {
		a, b := &after[i], &before[i]
		seconds := a.at.Sub(b.at).Seconds()
		perSecond := func(after, before map[string]float64) map[string]float64 {
			rates := make(map[string]float64, len(after))
			for name, n := range after {
				rates[name] = (n - before[name]) / seconds
			}
			return rates
		}
		r.Hosts = append(r.Hosts, HostCost{
			Host: a.host, Cores: (a.processor - b.processor).Seconds() / seconds, Wakeups: float64(a.wakeups-b.wakeups) / seconds,
			PeakMB: float64(a.peakKB) * 1024 / 1e6, Files: a.files, Connections: int(a.connections),
			Calls: perSecond(a.calls, b.calls), Bytes: perSecond(a.bytes, b.bytes),
		})
	}
	return r
}

// Print writes the mean and the maximum of each figure, and the calls and bytes by method.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "a host\tmean\tmost\t")
	for _, figure := range []struct {
		name   string
		format string
		of     func(*HostCost) float64
	}{
		{"cores", "%.4f", func(c *HostCost) float64 { return c.Cores }},
		{"wake-ups/s", "%.0f", func(c *HostCost) float64 { return c.Wakeups }},
		{"peak MB", "%.1f", func(c *HostCost) float64 { return c.PeakMB }},
		{"files", "%.1f", func(c *HostCost) float64 { return float64(c.Files) }},
		{"connections", "%.1f", func(c *HostCost) float64 { return float64(c.Connections) }},
	} {
		mean, most := r.summarize(figure.of)
		fmt.Fprintf(w, "%s\t"+figure.format+"\t"+figure.format+"\t\n", figure.name, mean, most)
	}
	names := make(map[string]struct{})
	for i := range r.Hosts {
		for name := range r.Hosts[i].Calls {
			names[name] = struct{}{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		calls, mostCalls := r.summarize(func(c *HostCost) float64 { return c.Calls[name] })
		bytes, mostBytes := r.summarize(func(c *HostCost) float64 { return c.Bytes[name] })
		fmt.Fprintf(w, "%s, calls/s\t%.2f\t%.2f\t\n%s, B/s\t%.0f\t%.0f\t\n", name, calls, mostCalls, name, bytes, mostBytes)
	}
	fmt.Fprintf(w, "calls/s to the store, all hosts\t%.2f\t\t\n", r.StoreCalls)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// summarize returns the mean and the maximum of a figure over all hosts.
func (r *Result) summarize(of func(*HostCost) float64) (mean, most float64) {
	for i := range r.Hosts {
		value := of(&r.Hosts[i])
		mean += value / float64(len(r.Hosts))
		most = max(most, value)
	}
	return mean, most
}

// Sort sorts the hosts, the one with the most processor time first.
func (r *Result) Sort() {
	slices.SortFunc(r.Hosts, func(a, b HostCost) int { return cmp.Compare(b.Cores, a.Cores) })
}
