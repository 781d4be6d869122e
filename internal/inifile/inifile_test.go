package inifile

import (
	"errors"
	"testing"
	"time"
)

func TestErrorsNameFileSectionAndKey(t *testing.T) {
	const text = "before = 1\n[pool chat]\nparts = many\nunused = 1\n[router x]\n[other]\n"
	file, err := Parse("f.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	file.Section("router")
	pool := file.Sections("pool")[0]
	pool.Int("parts", 1, 1, 9)
	pool.Required("class")
	file.AddError("%w section [%s NAME]", ErrMissing, "class")
	err = file.Err("router", "pool")
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		t.Fatalf("error %v of type %T is not a joined error", err, err)
	}
	want := []struct {
		section, key string
		reason       error
		message      string
	}{
		{"", "", ErrInvalid, `f.ini: invalid key "before" before the first section`},
		{"[router x]", "", ErrInvalid, `f.ini: [router x]: invalid name "x", want [router]`},
		{"[pool chat]", "parts", ErrInvalid, `f.ini: [pool chat] parts: invalid whole number "many", want one from 1 to 9`},
		{"[pool chat]", "class", ErrMissing, "f.ini: [pool chat] class: missing value"},
		{"", "", ErrMissing, "f.ini: missing section [class NAME]"},
		{"[pool chat]", "unused", ErrUnknown, "f.ini: [pool chat] unused: unknown key"},
		{"[other]", "", ErrUnknown, "f.ini: [other]: unknown section, want one of router, pool"},
	}
	got := joined.Unwrap()
	if len(got) != len(want) {
		t.Fatalf("%d errors, want %d: %v", len(got), len(want), err)
	}
	for i, w := range want {
		var fileErr *Error
		if !errors.As(got[i], &fileErr) {
			t.Errorf("%T is not an *Error", got[i])
			continue
		}
		if fileErr.File != "f.ini" || fileErr.Section != w.section || fileErr.Key != w.key || !errors.Is(fileErr, w.reason) || fileErr.Error() != w.message {
			t.Errorf("%q %q %q: %v; want %q %q: %s", fileErr.File, fileErr.Section, fileErr.Key, fileErr, w.section, w.key, w.message)
		}
	}
}

func TestParseErrorWrapsErrorOfLibrary(t *testing.T) {
	_, err := Parse("f.ini", []byte("[unclosed\n"))
	var fileErr *Error
	if !errors.As(err, &fileErr) || fileErr.File != "f.ini" || fileErr.Unwrap() == nil {
		t.Errorf("%v of type %T, want an *Error for f.ini that wraps the library's error", err, err)
	}
}

func TestValueErrorsDistinguishInvalidFromOutOfRange(t *testing.T) {
	for _, c := range []struct {
		line    string
		read    func(*Section)
		reason  error
		message string
	}{
		{"k = 12", func(s *Section) { s.Int("k", 1, 1, 9) }, ErrOutOfRange, "f.ini: [s] k: whole number 12 is out of range, want one from 1 to 9"},
		{"k = x", func(s *Section) { s.Float("k", 1, 0.5, 9) }, ErrInvalid, `f.ini: [s] k: invalid number "x", want one from 0.5 to 9`},
		{"k = NaN", func(s *Section) { s.Float("k", 1, 0.5, 9) }, ErrOutOfRange, "f.ini: [s] k: number NaN is out of range, want one from 0.5 to 9"},
		{"k = 1", func(s *Section) { s.Duration("k", 0, 0, time.Second) }, ErrInvalid, `f.ini: [s] k: invalid duration "1", want one from 0s to 1s, such as 250ms or 1.5s`},
		{"k = 2s", func(s *Section) { s.Duration("k", 0, 0, time.Second) }, ErrOutOfRange, "f.ini: [s] k: duration 2s is out of range, want one from 0s to 1s"},
		{"k = maybe", func(s *Section) { s.Bool("k", true) }, ErrInvalid, `f.ini: [s] k: invalid boolean "maybe", want true or false`},
		{"k = host:1", func(s *Section) { s.Address("k", "") }, ErrInvalid, `f.ini: [s] k: invalid address "host:1", want IP address and port such as 127.0.0.1:8080`},
		{"k = c", func(s *Section) { s.Choice("k", "", "a", "b") }, ErrUnknown, `f.ini: [s] k: unknown k "c", want one of a, b`},
		{"k = 1", func(s *Section) { s.Text("k", ""); s.RequireName() }, ErrMissing, "f.ini: [s]: missing name, want [s NAME]"},
	} {
		file, err := Parse("f.ini", []byte("[s]\n"+c.line+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		c.read(file.Section("s"))
		err = file.Err("s")
		if !errors.Is(err, c.reason) || err.Error() != c.message {
			t.Errorf("%s: %v; want %s", c.line, err, c.message)
		}
	}
}
