package configcheck

import "fmt"

// Severity tells whether a finding forbids sending the configuration.
type Severity string

// Severities of findings.
const (
	// Error means that hosts would refuse the configuration, or that requests would be
	// lost, repeated or sent to a service that was not meant.
	Error Severity = "error"
	// Warning means that the configuration works, but some part has no effect or probably
	// not the one that was meant.
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	Entry    Entry    `json:"entry"`
	// Message says what is wrong, and Remedy what to write instead.
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns a line of the form "severity: entry: message; remedy (rule)".
func (f *Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s (%s)", f.Severity, f.Entry, f.Message, f.Remedy, f.Rule)
}

// Count returns the numbers of errors and warnings.
func Count(findings []Finding) (errors, warnings int) {
	for i := range findings {
		if findings[i].Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}
