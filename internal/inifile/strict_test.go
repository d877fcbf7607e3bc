package inifile

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestParseReportsFilesWithoutEntries covers a file from which no section can be read: it
// was accepted, as if all its required keys had been given.
func TestParseReportsFilesWithoutEntries(t *testing.T) {
	for _, text := range []string{"", " \n", "# note\n", "; note\n\n# note", "[DEFAULT]\n", "\ufeff# note\n", "\ufeff"} {
		NewWithT(t).Expect(Parse("file", []byte(text)).Problems()).To(HaveLen(1), "text %q", text)
	}
}

// TestParseReportsRepeatedKeys covers repeated keys of which some are empty.
func TestParseReportsRepeatedKeys(t *testing.T) {
	for _, text := range []string{"k = 1\nk = 1", "k = 1\nk =", "k =\nk = 1", "k =\nk ="} {
		f := Parse("file", []byte("[s]\n"+text+"\n"))
		f.Section("s", true).String("k", "")
		NewWithT(t).Expect(f.Problems()).To(HaveLen(1), "text %q", text)
	}
}

// TestValuesAtTheEdges covers values that are just inside or outside of what a key allows.
func TestValuesAtTheEdges(t *testing.T) {
	uint32Key := func(s *Section) { s.Uint("k", 1, 0, math.MaxUint32) }
	float := func(s *Section) { s.Float("k", 1, 0, 10) }
	duration := func(s *Section) { s.Duration("k", time.Second, 0, time.Minute) }
	address := func(s *Section) { s.AddrPort("k", "192.0.2.1:80") }
	for _, c := range []struct {
		read  func(*Section)
		value string
		valid bool
	}{
		{uint32Key, "0", true}, {uint32Key, "4294967295", true}, {uint32Key, "4294967296", false}, {uint32Key, "-1", false}, {uint32Key, "", false},
		{float, "0", true}, {float, "10", true}, {float, "10.001", false}, {float, "NaN", false}, {float, "Inf", false}, {float, "", false},
		{duration, "0", true}, {duration, "1m", true}, {duration, "1m1ns", false}, {duration, "-1ns", false}, {duration, "5", false},
		{address, "192.0.2.1:80", true}, {address, "[2001:db8::1]:80", true}, {address, "0.0.0.0:80", false}, {address, "192.0.2.1:0", false},
		{address, "[::ffff:0.0.0.0]:80", false}, {address, "[::ffff:224.0.0.1]:80", false}, {address, "255.255.255.255:80", false},
	} {
		f := Parse("file", []byte("[s]\nk = "+c.value+"\n"))
		c.read(f.Section("s", true))
		NewWithT(t).Expect(len(f.Problems()) == 0).To(Equal(c.valid), "value %q", c.value)
	}
}
