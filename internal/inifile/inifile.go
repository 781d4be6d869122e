// Package inifile reads INI files strictly: unknown, duplicate, missing or invalid sections and keys
// are errors. Each error names file, section and key. All errors of a file are returned together.
//
// Callers parse a file, read the values of its sections, and then call File.Err, which also reports
// sections and keys that were not read.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// File is a parsed file. It collects the errors that are found when its values are read.
type File struct {
	Name     string // for error messages
	sections []*Section
	errs     []error // of type *Error
}

// Section is one section of a file.
type Section struct {
	Kind   string // the first word of the heading
	Name   string // the rest of the heading; "" for none
	file   *File
	values map[string]string // by key
	read   map[string]bool   // the keys that were read
}

// loadOptions make the INI library accept duplicate sections and keys, because Parse reports them with
// file, section and key. A comment symbol within a line begins a comment only after a space.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SpaceBeforeInlineComment:   true,
	SkipUnrecognizableLines:    false,
}

// Parse parses the text of a file. name is used in error messages. Parse returns an *Error if the text
// has a syntax error. All other errors are returned by File.Err.
func Parse(name string, text []byte) (*File, error) {
	parsed, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	f := &File{Name: name}
	headings := map[string]bool{}
	for _, section := range parsed.Sections() {
		heading := section.Name()
		if heading == ini.DefaultSection {
			f.reportKeysOutsideSections(section)
			continue
		}
		s := f.addSection(section)
		if headings[heading] {
			s.AddError("", "%w section", ErrDuplicate)
		}
		headings[heading] = true
	}
	return f, nil
}

// reportKeysOutsideSections records an error for each key before the first section. The INI
// library puts these keys into a section of their own.
func (f *File) reportKeysOutsideSections(defaultSection *ini.Section) {
	for _, key := range defaultSection.Keys() {
		f.AddError("%w key %q before the first section", ErrInvalid, key.Name())
	}
}

func (f *File) addSection(section *ini.Section) *Section {
	kind, name, _ := strings.Cut(section.Name(), " ")
	s := newSection(f, kind)
	s.Name = strings.TrimSpace(name)
	for _, key := range section.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			s.AddError(key.Name(), "%w key, set %d times", ErrDuplicate, len(values))
		}
		s.values[key.Name()] = strings.TrimSpace(key.Value())
	}
	f.sections = append(f.sections, s)
	return s
}

func newSection(f *File, kind string) *Section {
	return &Section{file: f, Kind: kind, values: map[string]string{}, read: map[string]bool{}}
}

// Sections returns the sections of a kind in the order in which the file has them.
func (f *File) Sections(kind string) []*Section {
	var sections []*Section
	for _, s := range f.sections {
		if s.Kind == kind {
			sections = append(sections, s)
		}
	}
	return sections
}

// Section returns the section of a kind whose sections have no names, such as "[router]". It records an
// error if the section has a name. If the file has no such section, it returns an empty one, whose keys
// are all missing.
func (f *File) Section(kind string) *Section {
	sections := f.Sections(kind)
	if len(sections) == 0 {
		return newSection(f, kind)
	}
	s := sections[0]
	if s.Name != "" {
		s.AddError("", "%w name %q, want [%s]", ErrInvalid, s.Name, kind)
	}
	return s
}

// Heading returns the section's heading, such as "[class chat]".
func (s *Section) Heading() string {
	if s.Name == "" {
		return "[" + s.Kind + "]"
	}
	return "[" + s.Kind + " " + s.Name + "]"
}

// RequireName reports whether the section has a name. If not, it records an error.
func (s *Section) RequireName() bool {
	if s.Name == "" {
		s.AddError("", "%w name, want [%s NAME]", ErrMissing, s.Kind)
		return false
	}
	return true
}

// unusedKeys returns the keys that were not read, sorted.
func (s *Section) unusedKeys() []string {
	var unused []string
	for key := range s.values {
		if !s.read[key] {
			unused = append(unused, key)
		}
	}
	slices.Sort(unused)
	return unused
}
