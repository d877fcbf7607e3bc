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

// maxQuotedBytes is the maximum number of bytes of a value that a message quotes.
const maxQuotedBytes = 60

// Section is a section of a File. Its methods that parse the value of a key report a
// problem if a required key is missing or a value is invalid.
type Section struct {
	file *File
	name string
	keys []entry
	// missing is set if the file has no such section.
	missing bool
	// used is set when the section is read. Sections that are not read are reported as
	// unknown.
	used bool
}

// entry is a key of a section with its value.
type entry struct {
	name  string
	value string
	// used is set when the key is read. Keys that are not read are reported as unknown.
	used bool
}

// newSection copies a parsed section. It reports repeated keys, of which it keeps the
// first value.
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

// Value returns the text of a key and whether the key exists. It marks the key as
// known.
func (s *Section) Value(key string) (string, bool) {
	for i := range s.keys {
		if s.keys[i].name == key {
			s.keys[i].used = true
			return s.keys[i].value, true
		}
	}
	return "", false
}

// Report adds a problem with a key of the section.
func (s *Section) Report(key, message, remedy string) { s.file.report(s.name, key, message, remedy) }

// String returns a key's text, or fallback if the key is missing.
func (s *Section) String(key, fallback string) string {
	if value, ok := s.Value(key); ok {
		return value
	}
	return fallback
}

// Required returns a key's text. It reports a key that is missing or empty, unless the
// whole section is missing. The example is a valid value that the remedy shows.
func (s *Section) Required(key, example string) string {
	value, _ := s.Value(key)
	if value == "" && !s.missing {
		s.Report(key, "the key is missing or empty", "write "+key+" = "+example)
	}
	return value
}

// Match reads a required key whose value must match the pattern. The remedy describes
// the pattern by format and shows the example. Match returns the value even if it does
// not match.
func (s *Section) Match(key string, pattern *regexp.Regexp, format, example string) string {
	value := s.Required(key, example)
	if value != "" && !pattern.MatchString(value) {
		s.Report(key, quoteTruncated(value)+" is not a valid name", "write "+format+", such as "+example)
	}
	return value
}

// Uint reads a whole number from low to high. It returns fallback if the key is
// missing or its value is invalid.
func (s *Section) Uint(key string, fallback, low, high uint32) uint32 {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || uint32(number) < low || uint32(number) > high {
		s.Report(key, quoteTruncated(text)+" is out of range", fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	return uint32(number)
}

// Float reads a number from low to high. It returns fallback if the key is missing
// or its value is invalid.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= low && number <= high) {
		s.Report(key, quoteTruncated(text)+" is out of range", fmt.Sprintf("write a number from %g to %g", low, high))
		return fallback
	}
	return number
}

// Duration reads a duration from low to high. It returns fallback if the key is
// missing or its value is invalid.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		s.Report(key, quoteTruncated(text)+" is out of range", fmt.Sprintf("write a duration from %s to %s, such as 90s or 1h", low, high))
		return fallback
	}
	return duration
}

// Choice reads a key whose value must be one of the choices. It returns fallback if the
// key is missing or its value is none of them.
func (s *Section) Choice(key, fallback string, choices ...string) string {
	text, ok := s.Value(key)
	if !ok {
		return fallback
	}
	for _, choice := range choices {
		if text == choice {
			return choice
		}
	}
	s.Report(key, quoteTruncated(text)+" is not known", "write "+strings.Join(choices, " or "))
	return fallback
}

// AddrPort reads a required unicast IP address and port. It returns IPv4-mapped IPv6
// addresses as IPv4, and the zero value if the address is missing or invalid.
func (s *Section) AddrPort(key, example string) netip.AddrPort {
	text := s.Required(key, example)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || !isUsable(address.Addr()) {
		s.Report(key, quoteTruncated(text)+" is not a usable address", "write IP:port with a numeric address, such as "+example)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// isUsable reports whether the address can be that of a remote endpoint: it has no
// zone and is not unspecified, multicast or the IPv4 broadcast address.
func isUsable(address netip.Addr) bool {
	unmapped := address.Unmap()
	return address.Zone() == "" && !unmapped.IsUnspecified() && !unmapped.IsMulticast() && unmapped != broadcast
}

// broadcast is the IPv4 broadcast address of the local network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// reportUnreadKeys reports the keys that have not been read as unknown.
func (s *Section) reportUnreadKeys() {
	for i := range s.keys {
		if !s.keys[i].used {
			s.Report(s.keys[i].name, "the key is unknown", "remove it or correct its name")
			s.keys[i].used = true
		}
	}
}

// quoteTruncated quotes a value, of which it keeps at most maxQuotedBytes.
func quoteTruncated(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}
