// Package inifile reads INI files whose sections and keys are all known. Unknown, duplicate,
// missing and invalid ones are errors that name file, section and key. The reader of a file gets
// all its errors at once.
//
// Parse a file, ask its sections for their values, and then call File.Err, which also reports the
// sections and keys that nobody asked for.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// File is a parsed file. It collects the errors that are found while its values are read.
type File struct {
	Name     string // for errors
	sections []*Section
	errs     []error // of type *Error
}

// Section is one section of a file.
type Section struct {
	Kind   string // the first word of the heading
	Name   string // the rest of the heading; "" for none
	file   *File
	values map[string]string // by key
	used   map[string]bool   // the keys that were asked for
}

// loadOptions make the library accept duplicate sections and keys. Parse reports them with file,
// section and key.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SpaceBeforeInlineComment:   true,
	SkipUnrecognizableLines:    false,
}

// Parse parses the text of a file. name is used in errors. It returns an *Error only if the text is
// not INI. All other errors are returned by File.Err.
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
			f.rejectKeys(section)
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

// rejectKeys reports the keys before the first section, which the library puts into a section of
// their own.
func (f *File) rejectKeys(section *ini.Section) {
	for _, key := range section.Keys() {
		f.AddError("%w key %q before the first section", ErrInvalid, key.Name())
	}
}

// addSection adds a section that the library has parsed.
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

// newSection returns an empty section without a name.
func newSection(f *File, kind string) *Section {
	return &Section{file: f, Kind: kind, values: map[string]string{}, used: map[string]bool{}}
}

// Sections returns the sections of a kind in the order of the file.
func (f *File) Sections(kind string) []*Section {
	var sections []*Section
	for _, s := range f.sections {
		if s.Kind == kind {
			sections = append(sections, s)
		}
	}
	return sections
}

// Section returns the only section of a kind, which has no name. If the file has none it returns
// an empty section, whose values are the defaults.
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

// RequireName reports whether the section has a name. It records an error if it has none.
func (s *Section) RequireName() bool {
	if s.Name == "" {
		s.AddError("", "%w name, want [%s NAME]", ErrMissing, s.Kind)
		return false
	}
	return true
}

// unusedKeys returns the keys that nobody asked for, sorted.
func (s *Section) unusedKeys() []string {
	var unused []string
	for key := range s.values {
		if !s.used[key] {
			unused = append(unused, key)
		}
	}
	slices.Sort(unused)
	return unused
}
