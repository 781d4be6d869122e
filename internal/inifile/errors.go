package inifile

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kinds of errors. Each error of this package wraps one of them, and so should errors that callers add
// with AddError. Their texts are part of the message, such as "unknown key" or "duration 5h is out of
// range". A syntax error wraps the error of the INI library instead.
var (
	ErrUnknown    = errors.New("unknown")
	ErrDuplicate  = errors.New("duplicate")
	ErrMissing    = errors.New("missing")
	ErrInvalid    = errors.New("invalid")
	ErrOutOfRange = errors.New("out of range")
)

// Error describes one error in a file.
type Error struct {
	File    string
	Section string // its heading, such as "[class chat]"; "" if the error concerns the whole file
	Key     string // "" if the error concerns the whole section or file
	Err     error
}

// Error implements error. The message begins with file, section and key.
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

// Unwrap returns e.Err.
func (e *Error) Unwrap() error { return e.Err }

// AddError records an error that concerns the whole file. format and args are passed to fmt.Errorf.
func (f *File) AddError(format string, args ...any) {
	f.errs = append(f.errs, &Error{File: f.Name, Err: fmt.Errorf(format, args...)})
}

// AddError records an error that concerns a key, or the whole section if key is "". format and args
// are passed to fmt.Errorf.
func (s *Section) AddError(key, format string, args ...any) {
	s.file.errs = append(s.file.errs, &Error{
		File:    s.file.Name,
		Section: s.Heading(),
		Key:     key,
		Err:     fmt.Errorf(format, args...),
	})
}

// Err returns all errors of the file, joined with errors.Join. Each is an *Error. It adds an error for
// each section whose kind is not in kinds and for each key that was not read, so it must be called
// once, after all values were read.
func (f *File) Err(kinds ...string) error {
	for _, s := range f.sections {
		if !slices.Contains(kinds, s.Kind) {
			s.AddError("", "%w section, want one of %s", ErrUnknown, strings.Join(kinds, ", "))
			continue
		}
		for _, key := range s.unusedKeys() {
			s.AddError(key, "%w key", ErrUnknown)
		}
	}
	return errors.Join(f.errs...)
}
