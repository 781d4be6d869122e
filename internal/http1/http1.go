// Package http1 parses and writes HTTP/1.1 messages (RFC 9112) for servers and clients. It does no
// I/O. The caller passes input to a Parser, and the Append functions append to a buffer of the
// caller.
//
// The parser is stricter than the RFC requires, since a message that two parsers interpret differently
// allows request smuggling. A line must end in CRLF, a message must have only one length, and a colon
// must follow each field name directly.
//
// A Parser is not safe for concurrent use.
package http1

import (
	"fmt"
	"net/http"
)

// Limits bound what a parser accepts. All must be set. Parsers read the shared value in each call, so
// it must not change while a parser uses it.
type Limits struct {
	Line    int   // bytes of the start line, and of the line that begins a chunk
	Headers int   // bytes of the start line and all fields together, and of a trailer
	Fields  int   // number of header fields
	Body    int64 // bytes of content, without the framing of chunks
}

// Error is the reason why a parser rejects a message. The connection cannot be used any more, as the
// end of the message is unknown.
type Error struct {
	Status int    // status code that a server should respond with
	Reason string // a constant text that contains no bytes of the message
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

// malformed returns an error for a message with invalid syntax.
func malformed(reason string) *Error {
	return &Error{Status: http.StatusBadRequest, Reason: reason}
}

func contentTooLong() *Error {
	return &Error{Status: http.StatusRequestEntityTooLarge, Reason: "content is longer than the limit"}
}

func headersTooLarge(reason string) *Error {
	return &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: reason}
}

// Field is a header field. Its slices are part of the parser's input.
type Field struct{ Name, Value []byte }

// Head is the start line and the fields of a message. Its slices are part of the parser's input, so they
// are valid until the caller overwrites that input.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	MinorVersion   int    // 0 or 1, of HTTP/1.0 or HTTP/1.1
	Fields         []Field
	ContentLength  int64 // bytes of content; -1 if it is chunked or ends with the connection
	Chunked        bool  // the content is sent in chunks
	KeepAlive      bool  // the connection may carry another message
	ExpectContinue bool  // the client waits for 100 (Continue)
}

// Get returns the value of the first field with the given name. It returns nil if there is none or its
// value is empty. name must be in lower case.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}
