package http1

import (
	"bytes"
	"net/http"
)

// unknownLength is the value of Head.ContentLength until a Content-Length field is found, and also after
// the head if the content is chunked or ends with the connection.
const unknownLength = -1

// parseFraming interprets the fields on the connection and the framing, and determines where the
// message ends (RFC 9112, section 6). After an interim response the parser stays in stateHead, as
// another head follows.
func (p *Parser) parseFraming() *Error {
	h := &p.Head
	h.KeepAlive = h.MinorVersion == 1
	h.ContentLength = unknownLength
	hosts := 0
	for i := range h.Fields {
		field := &h.Fields[i]
		if equalFold(field.Name, "host") {
			hosts++
		} else if err := p.parseFramingField(field); err != nil {
			return err
		}
	}
	if p.isInterim() {
		if h.Status == http.StatusSwitchingProtocols {
			return malformed("unexpected status 101 (Switching Protocols)")
		}
		return nil
	}
	if err := p.checkFraming(hosts); err != nil {
		return err
	}
	return p.beginContent()
}

// parseFramingField interprets a field that affects the framing or the connection. It ignores other
// fields.
func (p *Parser) parseFramingField(field *Field) *Error {
	h := &p.Head
	switch {
	case equalFold(field.Name, "content-length"):
		return h.setContentLength(field.Value)
	case equalFold(field.Name, "transfer-encoding"):
		if h.Chunked || !equalFold(field.Value, "chunked") {
			return &Error{Status: http.StatusNotImplemented, Reason: "transfer coding other than chunked"}
		}
		h.Chunked = true
	case equalFold(field.Name, "connection"):
		h.parseConnectionOptions(field.Value)
	case equalFold(field.Name, "expect"):
		h.ExpectContinue = equalFold(field.Value, "100-continue")
		if !h.ExpectContinue && !p.isResponse {
			return &Error{Status: http.StatusExpectationFailed, Reason: "unknown expectation"}
		}
	}
	return nil
}

// setContentLength interprets a Content-Length field. A second one is an error, even if its value is
// the same.
func (h *Head) setContentLength(value []byte) *Error {
	if h.ContentLength != unknownLength {
		return malformed("two content lengths")
	}
	length, ok := parseLength(value)
	if !ok {
		return malformed("malformed content length")
	}
	h.ContentLength = length
	return nil
}

// maxParsedLength is the largest length to which parseLength appends another digit. The result fits
// an int64. Limits.Body bounds the length itself.
const maxParsedLength = 1 << 58

// parseLength parses a length. It accepts digits only: no sign and no list of values.
func parseLength(value []byte) (int64, bool) {
	length := int64(0)
	for _, c := range value {
		if !isDigit(c) || length > maxParsedLength {
			return 0, false
		}
		length = length*10 + int64(c-'0')
	}
	return length, len(value) > 0
}

// parseConnectionOptions interprets the list of a Connection field.
func (h *Head) parseConnectionOptions(value []byte) {
	for option := range bytes.SplitSeq(value, []byte{','}) {
		option = trimWhitespace(option)
		if equalFold(option, "close") {
			h.KeepAlive = false
		} else if h.MinorVersion == 0 && equalFold(option, "keep-alive") {
			h.KeepAlive = true
		}
	}
}

// checkFraming rejects a head whose fields contradict each other, and a request without exactly one
// Host field. HTTP/1.0 requests may omit that field.
func (p *Parser) checkFraming(hosts int) *Error {
	h := &p.Head
	switch {
	case h.Chunked && h.ContentLength != unknownLength:
		return malformed("both a content length and a transfer coding")
	case h.Chunked && h.MinorVersion == 0:
		return malformed("transfer coding in HTTP/1.0")
	case !p.isResponse && (hosts > 1 || hosts == 0 && h.MinorVersion == 1):
		return malformed("not exactly one Host field")
	}
	return nil
}

// beginContent sets the parser's state for the content after the head.
func (p *Parser) beginContent() *Error {
	h := &p.Head
	switch {
	case p.isResponse && (h.Status == http.StatusNoContent || h.Status == http.StatusNotModified):
		h.Chunked = false
		h.ContentLength = 0
	case p.isResponse && !h.Chunked && h.ContentLength == unknownLength:
		h.KeepAlive = false
		p.state = stateUntilClose
		return nil
	case !h.Chunked && h.ContentLength == unknownLength:
		h.ContentLength = 0
	}
	if h.ContentLength > p.limits.Body {
		return contentTooLong()
	}
	p.remaining = h.ContentLength
	if h.Chunked {
		p.state = stateChunkSize
	} else {
		p.state = stateFixedContent
	}
	return nil
}
