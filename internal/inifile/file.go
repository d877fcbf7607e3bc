package inifile

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a file in bytes.
const MaxBytes = 1 << 20

// File is a parsed INI file. It collects the problems found while it is parsed and
// while its sections are read.
type File struct {
	name     string
	sections []*Section
	problems Problems
}

// Parse parses INI text. Problems show name as the file's name. Parse always returns a
// File; syntax errors are among its Problems.
func Parse(name string, data []byte) *File {
	f := &File{name: name}
	if len(data) > MaxBytes {
		f.report("", "", "the file is too large",
			fmt.Sprintf("write at most %d bytes", MaxBytes))
		return f
	}
	if len(bytes.TrimSpace(data)) == 0 {
		f.reportEmpty()
		return f
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		f.report("", "", "not an INI file ("+collapseWhitespace(err.Error())+")", "write [section] headers and key = value lines")
		return f
	}
	f.addSections(parsed)
	return f
}

// addSections adds the parsed sections. It reports keys before the first section, and
// sections that are repeated, of which it adds the first.
func (f *File) addSections(parsed *ini.File) {
	seen := make(map[string]bool)
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			for _, key := range section.Keys() {
				f.report("(top)", key.Name(), "the key is before the first section", "move it under a [section] header")
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
	if len(f.sections) == 0 && len(f.problems) == 0 {
		f.reportEmpty()
	}
}

// reportEmpty reports that the file has no sections.
func (f *File) reportEmpty() {
	f.report("", "", "the file is empty", "write the sections and keys shown in the examples, or remove the file")
}

// Section returns the section of the given name and marks it as known. If there is
// none, it returns an empty section, and reports a problem if required is true and the
// file has other sections.
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

// SectionsWithPrefix returns the sections whose names start with the prefix, in
// file order, and marks them as known.
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

// Sections returns all sections in file order without marking them as known.
func (f *File) Sections() []*Section { return f.sections }

// Problems returns the problems found so far. It reports sections and keys that have
// not been read as unknown, so all known ones must be read before it is called.
func (f *File) Problems() Problems {
	for _, section := range f.sections {
		if !section.used {
			f.report(section.name, "", "the section is unknown", "remove it or correct its name")
			section.used = true
			continue
		}
		section.reportUnreadKeys()
	}
	return f.problems
}

// Report adds a problem with a key of a section. message says what is wrong, and remedy
// says what to write instead.
func (f *File) Report(section, key, message, remedy string) { f.report(section, key, message, remedy) }

func (f *File) report(section, key, message, remedy string) {
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Key: key, Message: message, Remedy: remedy})
}

// collapseWhitespace replaces each run of white space by a single space.
func collapseWhitespace(text string) string { return strings.Join(strings.Fields(text), " ") }
