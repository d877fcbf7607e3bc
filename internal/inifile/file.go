package inifile

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the size above which a file is refused.
const MaxBytes = 1 << 20

// File is a parsed INI file. Reading its sections collects problems.
type File struct {
	name     string
	sections []*Section
	problems Problems
}

// Parse reads INI text. It always returns a File; Problems tells whether the
// text was usable.
func Parse(name string, data []byte) *File {
	f := &File{name: name}
	if len(data) > MaxBytes {
		f.report("", "", "the file is too large",
			fmt.Sprintf("write at most %d bytes", MaxBytes))
		return f
	}
	if len(bytes.TrimSpace(data)) == 0 {
		f.report("", "", "the file is empty", "write the sections and keys shown in the examples, or remove the file")
		return f
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		f.report("", "", "not an INI file ("+oneLine(err.Error())+")", "write [section] headers and key = value lines")
		return f
	}
	f.addSections(parsed)
	return f
}

func (f *File) addSections(parsed *ini.File) {
	seen := make(map[string]bool)
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			for _, key := range section.Keys() {
				f.report("(top)", key.Name(), "the key stands before the first section", "move it under a [section] header")
			}
			continue
		}
		if seen[name] {
			f.report(name, "", "the section is repeated", "keep one section of this name")
			continue
		}
		seen[name] = true
		f.sections = append(f.sections, newSection(f, section))
	}
}

// Section returns the section of the given name. When it is missing, the
// returned section is empty, and a problem is reported if it is required.
func (f *File) Section(name string, required bool) *Section {
	for _, section := range f.sections {
		if section.name == name {
			section.used = true
			return section
		}
	}
	if required && len(f.sections) > 0 {
		f.report(name, "", "the section is missing", "add a ["+name+"] section")
	}
	return &Section{file: f, name: name, missing: true, used: true}
}

// SectionsWithPrefix returns the sections whose name starts with the prefix, in file order.
func (f *File) SectionsWithPrefix(prefix string) []*Section {
	var found []*Section
	for _, section := range f.sections {
		if strings.HasPrefix(section.name, prefix) {
			section.used = true
			found = append(found, section)
		}
	}
	return found
}

// Sections returns all sections in file order.
func (f *File) Sections() []*Section { return f.sections }

// Problems returns the faults found so far, with every section and key that
// was never read reported as unknown.
func (f *File) Problems() Problems {
	for _, section := range f.sections {
		if !section.used {
			f.report(section.name, "", "the section is unknown", "remove it or correct its name")
			section.used = true
			continue
		}
		section.reportUnknown()
	}
	return f.problems
}

// Report adds a problem that a caller found in a section's key.
func (f *File) Report(section, key, what, remedy string) { f.report(section, key, what, remedy) }

func (f *File) report(section, key, what, remedy string) {
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Key: key, What: what, Remedy: remedy})
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
