package platform

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// firstEventState is the state of a stream's first event. Further bytes do not change the state once
// the event is complete or invalid.
type firstEventState uint8

const (
	// firstEventIncomplete means that more bytes are needed.
	firstEventIncomplete firstEventState = iota // incomplete
	// firstEventComplete means that the event is complete and its data is a JSON object.
	firstEventComplete // complete
	// firstEventInvalid means that no further bytes can make the event valid.
	firstEventInvalid // invalid
)

// eventDataField is the start of an event's data line.
const eventDataField = "data:"

// scanFirstEvent returns the state of the event at the start of a stream. A valid event is one data line
// with a JSON object, followed by an empty line.
func scanFirstEvent(stream []byte) firstEventState {
	for i := range min(len(stream), len(eventDataField)) {
		if stream[i] != eventDataField[i] {
			return firstEventInvalid
		}
	}
	lineEnd := bytes.IndexByte(stream, '\n')
	if lineEnd < 0 {
		return firstEventIncomplete
	}
	data := bytes.TrimSpace(stream[len(eventDataField):lineEnd])
	if !bytes.HasPrefix(data, []byte("{")) || !gjson.ValidBytes(data) {
		return firstEventInvalid
	}
	return scanEmptyLine(stream[lineEnd+1:])
}

// scanEmptyLine returns the state of an event from the bytes after its data line. The event is
// complete with LF, or with CR and any further byte.
func scanEmptyLine(rest []byte) firstEventState {
	switch {
	case len(rest) == 0:
		return firstEventIncomplete
	case rest[0] == '\n':
		return firstEventComplete
	case rest[0] != '\r':
		return firstEventInvalid
	case len(rest) == 1:
		return firstEventIncomplete
	}
	return firstEventComplete
}
