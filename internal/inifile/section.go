package inifile

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// maxQuoted bounds how much of a wrong value a message repeats.
const maxQuoted = 60

// Section is one section of a File. Its readers report a problem and return
// the zero value when a key is missing or malformed.
type Section struct {
	file    *File
	name    string
	keys    []entry
	missing bool
	used    bool
}

type entry struct {
	name  string
	value string
	used  bool
}

func newSection(f *File, section *ini.Section) *Section {
	s := &Section{file: f, name: section.Name()}
	for _, key := range section.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			f.report(s.name, key.Name(), "the key is repeated", "keep one line of this key")
		}
		s.keys = append(s.keys, entry{name: key.Name(), value: key.Value()})
	}
	return s
}

// Name returns the section's name.
func (s *Section) Name() string { return s.name }

// Keys returns the names of the keys in file order.
func (s *Section) Keys() []string {
	names := make([]string, len(s.keys))
	for i, key := range s.keys {
		names[i] = key.name
	}
	return names
}

// Value returns the text of a key and whether the key is there.
func (s *Section) Value(key string) (string, bool) {
	for i := range s.keys {
		if s.keys[i].name == key {
			s.keys[i].used = true
			return s.keys[i].value, true
		}
	}
	return "", false
}

// Report adds a problem at a key of the section.
func (s *Section) Report(key, what, remedy string) { s.file.report(s.name, key, what, remedy) }

// String returns a key's text, or fallback when the key is missing.
func (s *Section) String(key, fallback string) string {
	if value, ok := s.Value(key); ok {
		return value
	}
	return fallback
}

// Required returns a key's text and reports a missing or empty one.
func (s *Section) Required(key, example string) string {
	value, _ := s.Value(key)
	if value == "" && !s.missing {
		s.Report(key, "the key is missing or empty", "write "+key+" = "+example)
	}
	return value
}

// Match reads a required key that must match the pattern described by shape.
func (s *Section) Match(key string, pattern *regexp.Regexp, shape, example string) string {
	value := s.Required(key, example)
	if value != "" && !pattern.MatchString(value) {
		s.Report(key, quote(value)+" is not a valid name", "write "+shape+", such as "+example)
	}
	return value
}

// Uint reads a whole number from low to high, or fallback when the key is missing.
func (s *Section) Uint(key string, fallback, low, high uint32) uint32 {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || uint32(number) < low || uint32(number) > high {
		s.Report(key, quote(text)+" is out of range", fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	return uint32(number)
}

// Float reads a number from low to high, or fallback when the key is missing.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= low && number <= high) {
		s.Report(key, quote(text)+" is out of range", fmt.Sprintf("write a number from %g to %g", low, high))
		return fallback
	}
	return number
}

// Duration reads a duration from low to high, or fallback when the key is missing.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		s.Report(key, quote(text)+" is out of range", fmt.Sprintf("write a duration from %s to %s, such as 90s or 1h", low, high))
		return fallback
	}
	return duration
}

// Choice reads one of the allowed words, or fallback when the key is missing.
func (s *Section) Choice(key, fallback string, allowed ...string) string {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	for _, word := range allowed {
		if text == word {
			return word
		}
	}
	s.Report(key, quote(text)+" is not known", "write "+strings.Join(allowed, " or "))
	return fallback
}

// AddrPort reads a required IP address and port.
func (s *Section) AddrPort(key, example string) netip.AddrPort {
	text := s.Required(key, example)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || !usable(address.Addr()) {
		s.Report(key, quote(text)+" is not a usable address", "write IP:port by number, such as "+example)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func usable(address netip.Addr) bool {
	return address.Zone() == "" && !address.IsUnspecified() && !address.IsMulticast()
}

func (s *Section) reportUnknown() {
	for i := range s.keys {
		if !s.keys[i].used {
			s.Report(s.keys[i].name, "the key is unknown", "remove it or correct its name")
			s.keys[i].used = true
		}
	}
}

func quote(text string) string {
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return strconv.Quote(text)
}
