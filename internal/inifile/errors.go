package inifile

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// What can be wrong with a section, a key or a value. The errors of this package wrap one of them, and
// so should those that its callers add. They are parts of the text, such as "unknown key" or "duration
// 5h is out of range". Only the error of a text that is not INI wraps the library's error instead.
var (
	ErrUnknown    = errors.New("unknown")
	ErrDuplicate  = errors.New("duplicate")
	ErrMissing    = errors.New("missing")
	ErrInvalid    = errors.New("invalid")
	ErrOutOfRange = errors.New("out of range")
)

// Error is one error in a file.
type Error struct {
	File    string
	Section string // its heading, such as "[class chat]"; "" for the file as a whole
	Key     string // "" for the section as a whole
	Err     error
}

// Error implements error. The text begins with file, section and key.
func (e *Error) Error() string {
	place := e.File + ": "
	if e.Section != "" {
		place += e.Section
		if e.Key != "" {
			place += " " + e.Key
		}
		place += ": "
	}
	return place + e.Err.Error()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// AddError records an error of the file as a whole. The format is that of fmt.Errorf.
func (f *File) AddError(format string, args ...any) {
	f.errs = append(f.errs, &Error{File: f.Name, Err: fmt.Errorf(format, args...)})
}

// AddError records an error of a key, or of the section if key is "". The format is that of
// fmt.Errorf.
func (s *Section) AddError(key, format string, args ...any) {
	s.file.errs = append(s.file.errs, &Error{
		File:    s.file.Name,
		Section: s.Heading(),
		Key:     key,
		Err:     fmt.Errorf(format, args...),
	})
}

// Err returns all errors of the file, each an *Error, joined. It adds the sections whose kind is not
// in kinds and the keys that nobody has asked for, so it must be called after all values were read.
func (f *File) Err(kinds ...string) error {
	for _, s := range f.sections {
		if !slices.Contains(kinds, s.Kind) {
			s.AddError("", "%w section, known are %s", ErrUnknown, strings.Join(kinds, ", "))
			continue
		}
		for _, key := range s.unusedKeys() {
			s.AddError(key, "%w key", ErrUnknown)
		}
	}
	return errors.Join(f.errs...)
}
