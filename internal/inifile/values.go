package inifile

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Has reports whether a key is set to a value that is not empty. It does not count as reading the key.
func (s *Section) Has(key string) bool { return s.values[key] != "" }

// Text returns the value of a key, or fallback if the key is missing.
func (s *Section) Text(key, fallback string) string {
	s.read[key] = true
	value, isPresent := s.values[key]
	if !isPresent {
		return fallback
	}
	return value
}

// Required returns the value of a key. If the key is missing or empty, it records an error and returns
// "".
func (s *Section) Required(key string) string {
	value := s.Text(key, "")
	if value == "" {
		s.AddError(key, "%w value", ErrMissing)
	}
	return value
}

// List returns the elements of a comma-separated list. It omits empty elements.
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

// Choice returns the index in choices of a key's value, or of fallback if the key is missing. For any
// other value it records an error and returns 0.
func (s *Section) Choice(key, fallback string, choices ...string) int {
	value := s.Text(key, fallback)
	index := slices.Index(choices, value)
	if index < 0 {
		s.AddError(key, "%w %s %q, want one of %s", ErrUnknown, key, value, strings.Join(choices, ", "))
		return 0
	}
	return index
}

// Bool returns a boolean that strconv.ParseBool accepts, or fallback if the key is missing. For any
// other value it records an error and returns false.
func (s *Section) Bool(key string, fallback bool) bool {
	text := s.Text(key, strconv.FormatBool(fallback))
	value, err := strconv.ParseBool(text)
	if err != nil {
		s.AddError(key, "%w boolean %q, want true or false", ErrInvalid, text)
	}
	return value
}

// Int returns a whole number from minValue to maxValue, or fallback if the key is missing. For any other
// value it records an error and returns fallback.
func (s *Section) Int(key string, fallback, minValue, maxValue int) int {
	text := s.Text(key, strconv.Itoa(fallback))
	value, err := strconv.Atoi(text)
	switch {
	case err != nil:
		s.AddError(key, "%w whole number %q, want one from %d to %d", ErrInvalid, text, minValue, maxValue)
		return fallback
	case value < minValue || value > maxValue:
		s.AddError(key, "whole number %s is %w, want one from %d to %d", text, ErrOutOfRange, minValue, maxValue)
		return fallback
	}
	return value
}

// Float returns a number from minValue to maxValue, or fallback if the key is missing. For any other
// value it records an error and returns fallback.
func (s *Section) Float(key string, fallback, minValue, maxValue float64) float64 {
	text := s.Text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	value, err := strconv.ParseFloat(text, 64)
	isWithin := value >= minValue && value <= maxValue // false for NaN
	switch {
	case err != nil:
		s.AddError(key, "%w number %q, want one from %g to %g", ErrInvalid, text, minValue, maxValue)
		return fallback
	case !isWithin:
		s.AddError(key, "number %s is %w, want one from %g to %g", text, ErrOutOfRange, minValue, maxValue)
		return fallback
	}
	return value
}

// Duration returns a duration from minValue to maxValue, written like 250ms or 1.5s, or fallback if the
// key is missing. For any other value it records an error and returns fallback.
func (s *Section) Duration(key string, fallback, minValue, maxValue time.Duration) time.Duration {
	text := s.Text(key, fallback.String())
	value, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.AddError(key, "%w duration %q, want one from %v to %v, such as 250ms or 1.5s", ErrInvalid, text, minValue, maxValue)
		return fallback
	case value < minValue || value > maxValue:
		s.AddError(key, "duration %s is %w, want one from %v to %v", text, ErrOutOfRange, minValue, maxValue)
		return fallback
	}
	return value
}

// Address returns an IP address with a port. fallback is used if the key is missing. For any other value
// it records an error and returns the zero AddrPort.
func (s *Section) Address(key, fallback string) netip.AddrPort {
	text := s.Text(key, fallback)
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		s.AddError(key, "%w address %q, want IP address and port such as 127.0.0.1:8080", ErrInvalid, text)
	}
	return address
}
