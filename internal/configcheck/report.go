package configcheck

import (
	"fmt"
	"io"
)

// InForce tells with which configuration another one was compared.
type InForce struct {
	// Source is the file or the address of the store.
	Source  string `json:"source"`
	Version uint64 `json:"version"`
}

// Report is the result of a check.
type Report struct {
	// Source is the checked file.
	Source  string `json:"source"`
	Version uint64 `json:"version"`
	// InForce is nil if there was nothing to compare with.
	InForce     *InForce     `json:"in_force"`
	Errors      int          `json:"errors"`
	Warnings    int          `json:"warnings"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// NewReport checks the configuration and reports the result together with the findings
// about its text. The configuration is nil if its text cannot be decoded. The source of
// the configuration in force in the surroundings is only used if there is one.
func NewReport(source string, configuration *Configuration, text []Finding, surroundings Surroundings, inForceSource string) *Report {
	r := &Report{Source: source, Findings: append([]Finding{}, text...), Differences: []Difference{}}
	if inForce := surroundings.InForce; inForce != nil {
		r.InForce = &InForce{Source: inForceSource, Version: inForce.Version}
	}
	if configuration != nil {
		r.Version = configuration.Version
		r.Findings = append(r.Findings, Check(configuration, surroundings)...)
		if surroundings.InForce != nil {
			r.Differences = append(r.Differences, Compare(surroundings.InForce, configuration)...)
		}
	}
	r.Errors, r.Warnings = Count(r.Findings)
	return r
}

// Failed reports whether the configuration should not be sent. If strict is set, warnings
// count like errors.
func (r *Report) Failed(strict bool) bool { return r.Errors > 0 || strict && r.Warnings > 0 }

// Print writes the report as text, one line per finding and difference.
func (r *Report) Print(w io.Writer) error {
	lines := make([]string, 0, len(r.Findings)+len(r.Differences)+2)
	for i := range r.Findings {
		lines = append(lines, r.Source+": "+r.Findings[i].String())
	}
	if r.InForce != nil {
		lines = append(lines, fmt.Sprintf("version %d compared with version %d in force (%s): %d differences", r.Version, r.InForce.Version, r.InForce.Source, len(r.Differences)))
	}
	for i := range r.Differences {
		lines = append(lines, "  "+r.Differences[i].String())
	}
	lines = append(lines, fmt.Sprintf("version %d: %d errors, %d warnings", r.Version, r.Errors, r.Warnings))
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
