package inifile

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Has reports whether a key is set to a value that is not empty.
func (s *Section) Has(key string) bool { return s.values[key] != "" }

// Text returns the value of a key, or fallback if the key is missing.
func (s *Section) Text(key, fallback string) string {
	s.used[key] = true
	value, isPresent := s.values[key]
	if !isPresent {
		return fallback
	}
	return value
}

// Required returns the value of a key. It records an error if the value is missing or empty.
func (s *Section) Required(key string) string {
	value := s.Text(key, "")
	if value == "" {
		s.AddError(key, "%w value", ErrMissing)
	}
	return value
}

// List returns the elements of a comma-separated list.
func (s *Section) List(key string) []string {
	var elements []string
	for element := range strings.SplitSeq(s.Text(key, ""), ",") {
		element = strings.TrimSpace(element)
		if element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

// Choice returns the index of the value in words. If it is none of them it records an error and
// returns 0.
func (s *Section) Choice(key, fallback string, words ...string) int {
	value := s.Text(key, fallback)
	index := slices.Index(words, value)
	if index < 0 {
		s.AddError(key, "%w %s %q, known are %s", ErrUnknown, key, value, strings.Join(words, ", "))
		return 0
	}
	return index
}

// Bool returns a boolean.
func (s *Section) Bool(key string, fallback bool) bool {
	text := s.Text(key, strconv.FormatBool(fallback))
	value, err := strconv.ParseBool(text)
	if err != nil {
		s.AddError(key, "%w boolean %q, want true or false", ErrInvalid, text)
	}
	return value
}

// Int returns a whole number from least to most. It returns fallback for any other value and
// records an error.
func (s *Section) Int(key string, fallback, least, most int) int {
	text := s.Text(key, strconv.Itoa(fallback))
	value, err := strconv.Atoi(text)
	switch {
	case err != nil:
		s.AddError(key, "%w whole number %q, want one from %d to %d", ErrInvalid, text, least, most)
		return fallback
	case value < least || value > most:
		s.AddError(key, "whole number %s is %w, want one from %d to %d", text, ErrOutOfRange, least, most)
		return fallback
	}
	return value
}

// Float returns a number from least to most. It returns fallback for any other value and records
// an error.
func (s *Section) Float(key string, fallback, least, most float64) float64 {
	text := s.Text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	value, err := strconv.ParseFloat(text, 64)
	isWithin := value >= least && value <= most // false for NaN
	switch {
	case err != nil:
		s.AddError(key, "%w number %q, want one from %g to %g", ErrInvalid, text, least, most)
		return fallback
	case !isWithin:
		s.AddError(key, "number %s is %w, want one from %g to %g", text, ErrOutOfRange, least, most)
		return fallback
	}
	return value
}

// Duration returns a duration, written like 250ms or 1.5s, from least to most. It returns fallback
// for any other value and records an error.
func (s *Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	text := s.Text(key, fallback.String())
	value, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.AddError(key, "%w duration %q, want one from %v to %v, such as 250ms or 1.5s", ErrInvalid, text, least, most)
		return fallback
	case value < least || value > most:
		s.AddError(key, "duration %s is %w, want one from %v to %v", text, ErrOutOfRange, least, most)
		return fallback
	}
	return value
}

// Address returns an IP address with a port. It returns the zero AddrPort for any other value and
// records an error.
func (s *Section) Address(key, fallback string) netip.AddrPort {
	text := s.Text(key, fallback)
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		s.AddError(key, "%w address %q, want IP address and port such as 127.0.0.1:8080", ErrInvalid, text)
	}
	return address
}
