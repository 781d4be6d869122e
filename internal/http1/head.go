package http1

import (
	"bytes"
	"net/http"
)

var crlf = []byte("\r\n")

// readHead consumes the head once it has arrived completely.
func (p *Parser) readHead(b []byte) (element, *Error) {
	if p.scanned == 0 && !p.isResponse && bytes.HasPrefix(b, crlf) {
		return element{consumed: len(crlf)}, nil // a request may follow an empty line (RFC 9112, section 2.2)
	}
	size, err := p.scanHead(b)
	if err != nil || size == 0 {
		return element{}, err
	}
	p.scanned = 0
	p.contentSize = 0
	if err := p.parseHead(b[:size-len(crlf)]); err != nil {
		return element{}, err
	}
	if p.isInterim() {
		return element{consumed: size}, nil
	}
	return element{consumed: size, kind: HeadDone}, nil
}

// isInterim reports whether the head is that of an interim response, which precedes the final one.
func (p *Parser) isInterim() bool { return p.isResponse && p.Head.Status < firstFinalStatus }

// scanHead returns the size of the head including the empty line that ends it, or 0 while that line is
// missing. It searches complete lines only once, even over several calls.
func (p *Parser) scanHead(b []byte) (int, *Error) {
	for {
		newline := bytes.IndexByte(b[p.scanned:], '\n')
		if newline < 0 {
			return 0, p.checkIncompleteHead(b)
		}
		newline += p.scanned
		if newline == 0 || b[newline-1] != '\r' {
			return 0, malformed("line ends in a bare LF")
		}
		if newline == 1 {
			return 0, malformed("empty start line")
		}
		isEmptyLine := b[newline-2] == '\n'
		if !isEmptyLine && p.scanned == 0 && newline-1 > p.limits.Line {
			return 0, p.startLineTooLong()
		}
		p.scanned = newline + 1
		if p.scanned > p.limits.Headers {
			return 0, headersTooLarge("header fields are larger than the limit")
		}
		if isEmptyLine {
			return p.scanned, nil
		}
	}
}

// checkIncompleteHead checks the part of a head that has arrived against the limits.
func (p *Parser) checkIncompleteHead(b []byte) *Error {
	isStartLine := p.scanned == 0
	if isStartLine && len(b)-1 > p.limits.Line { // the last byte may be the CR
		return p.startLineTooLong()
	}
	if len(b) > p.limits.Headers {
		return headersTooLarge("header fields are larger than the limit")
	}
	return nil
}

func (p *Parser) startLineTooLong() *Error {
	if p.isResponse {
		return malformed("status line is longer than the limit")
	}
	return &Error{Status: http.StatusRequestURITooLong, Reason: "request line is longer than the limit"}
}

// parseHead parses the start line and the field lines, then determines the framing. Each line must end
// in CRLF.
func (p *Parser) parseHead(lines []byte) *Error {
	fields := p.Head.Fields[:0]
	p.Head = Head{}
	startLine, lines := cutLine(lines)
	if err := p.parseStartLine(startLine); err != nil {
		return err
	}
	for len(lines) > 0 {
		var line []byte
		line, lines = cutLine(lines)
		if len(fields) == p.limits.Fields {
			return headersTooLarge("more header fields than the limit")
		}
		field, err := parseField(line, p.isResponse)
		if err != nil {
			return err
		}
		fields = append(fields, field)
	}
	p.Head.Fields = fields
	return p.parseFraming()
}

// cutLine splits off the first line, without its CRLF. All lines must end in CRLF.
func cutLine(lines []byte) (line, rest []byte) {
	newline := bytes.IndexByte(lines, '\n')
	return lines[:newline-1], lines[newline+1:]
}

func (p *Parser) parseStartLine(line []byte) *Error {
	if p.isResponse {
		return p.Head.parseStatusLine(line)
	}
	return p.Head.parseRequestLine(line)
}

// Offsets in a status line such as "HTTP/1.1 200 OK" (RFC 9112, section 4), and in an HTTP version.
const (
	majorVersionAt = len("HTTP/")
	versionDotAt   = len("HTTP/1")
	minorVersionAt = len("HTTP/1.")
	versionEnd     = len("HTTP/1.1")
	statusCodeAt   = len("HTTP/1.1 ")
	statusCodeEnd  = len("HTTP/1.1 200")
)

// parseStatusLine sets Status and MinorVersion.
func (h *Head) parseStatusLine(line []byte) *Error {
	if !isStatusLine(line) {
		return malformed("malformed status line")
	}
	for _, c := range line[statusCodeAt:statusCodeEnd] {
		if !isDigit(c) {
			return malformed("malformed status code")
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	if h.Status < minStatusCode {
		return malformed("malformed status code")
	}
	h.MinorVersion = int(line[minorVersionAt] - '0')
	return nil
}

// isStatusLine reports whether line has the form of a status line. It does not check the status code.
// If the reason phrase is missing, the space before it may be missing as well.
func isStatusLine(line []byte) bool {
	if len(line) < statusCodeEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return false
	}
	minor := line[minorVersionAt]
	if minor != '0' && minor != '1' || line[versionEnd] != ' ' {
		return false
	}
	if len(line) > statusCodeEnd && line[statusCodeEnd] != ' ' {
		return false
	}
	return !hasControl(line)
}

// parseRequestLine sets Method, Target and MinorVersion.
func (h *Head) parseRequestLine(line []byte) *Error {
	method, rest, hasTarget := bytes.Cut(line, []byte{' '})
	target, version, hasVersion := bytes.Cut(rest, []byte{' '})
	if !hasTarget || !hasVersion || !isToken(method) {
		return malformed("malformed request line")
	}
	if len(target) == 0 {
		return malformed("empty request target")
	}
	for _, c := range target {
		if c <= ' ' || c >= deleteChar {
			return malformed("malformed request target")
		}
	}
	minor, err := parseVersion(version)
	if err != nil {
		return err
	}
	h.Method = method
	h.Target = target
	h.MinorVersion = minor
	return nil
}

// parseVersion returns the minor version of "HTTP/1.0" or "HTTP/1.1".
func parseVersion(version []byte) (minor int, err *Error) {
	if len(version) != versionEnd || !bytes.HasPrefix(version, []byte("HTTP/")) {
		return 0, malformed("malformed HTTP version")
	}
	majorDigit := version[majorVersionAt]
	minorDigit := version[minorVersionAt]
	if !isDigit(majorDigit) || version[versionDotAt] != '.' || !isDigit(minorDigit) {
		return 0, malformed("malformed HTTP version")
	}
	if majorDigit != '1' || minorDigit > '1' {
		return 0, &Error{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP version is not 1.0 or 1.1"}
	}
	return int(minorDigit - '0'), nil
}

// parseField splits a header line into name and value. The line must not be empty. In the value of a
// response's field it accepts control characters except CR, LF and NUL, as RFC 9110, section 5.5,
// allows. An engine's response should not be rejected because of a field that is not needed.
func parseField(line []byte, isResponse bool) (Field, *Error) {
	if isWhitespace(line[0]) {
		return Field{}, malformed("folded header line")
	}
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) {
		return Field{}, malformed("malformed header field name")
	}
	value = trimWhitespace(value)
	if isResponse && bytes.IndexByte(value, 0) < 0 && bytes.IndexByte(value, '\r') < 0 {
		return Field{Name: name, Value: value}, nil
	}
	if hasControl(value) {
		return Field{}, malformed("control character in a header field")
	}
	return Field{Name: name, Value: value}, nil
}
