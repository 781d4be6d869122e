package simwire

import "fmt"

// RecordError reports that a record of a batch can't be decoded.
type RecordError struct {
	Index  uint32 // of the record in its batch
	Offset int    // of the record in its frame, in bytes
	Err    error
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d at byte %d: %v", e.Index, e.Offset, e.Err)
}

// Unwrap returns the reason.
func (e *RecordError) Unwrap() error { return e.Err }

// UnknownValueError reports a number that is not defined for its field.
type UnknownValueError struct {
	Field string // such as "event code"
	Value uint64
}

// Error implements error.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.Field, e.Value) }

// LengthError reports a frame whose length differs from the one in its header.
type LengthError struct {
	Frame string // "frame" or "reply"
	Want  uint32 // bytes, by the header
	Got   int    // bytes
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("%s has %d bytes, but the length in its header is %d", e.Frame, e.Got, e.Want)
}

// TruncatedError reports a field that extends beyond the end of its frame.
type TruncatedError struct {
	Want int // bytes
	Left int // bytes
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("field has %d bytes, but only %d bytes of the frame are left", e.Want, e.Left)
}
