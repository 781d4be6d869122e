package http1

import (
	"bytes"
	"net/http"
)

// maxChunkDigits bounds the hexadecimal digits of a chunk size. More could overflow the 63 bits of an
// int64.
const maxChunkDigits = 15

// readChunkSize consumes the line that begins a chunk. The last chunk has size 0, and the trailer
// follows.
func (p *Parser) readChunkSize(b []byte) (element, *Error) {
	line, n, err := p.readLine(b, p.limits.Line, http.StatusBadRequest)
	if err != nil || n == 0 {
		return element{}, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return element{}, err
	}
	p.contentSize += size
	if p.contentSize > p.limits.Body {
		return element{}, contentTooLong()
	}
	if size == 0 {
		p.trailerSize = 0
		p.state = stateTrailer
	} else {
		p.state = stateChunkData
	}
	p.remaining = size
	return element{consumed: n}, nil
}

// parseChunkSize parses a chunk size. Extensions after it are checked for control characters and
// ignored (RFC 9112, section 7.1.1).
func parseChunkSize(line []byte) (int64, *Error) {
	size := int64(0)
	digits := 0
	for ; digits < len(line); digits++ {
		digit := hexDigit(line[digits])
		if digit < 0 {
			break
		}
		if digits >= maxChunkDigits {
			return 0, malformed("chunk size has too many digits")
		}
		size = size<<4 | int64(digit)
	}
	extension := bytes.TrimLeft(line[digits:], " \t") // whitespace is allowed only before an extension
	strayBytes := len(extension) > 0 && extension[0] != ';'
	strayWhitespace := len(extension) == 0 && digits < len(line)
	if digits == 0 || strayBytes || strayWhitespace || hasControl(extension) {
		return 0, malformed("malformed chunk size")
	}
	return size, nil
}

// readChunkEnd consumes the CRLF after a chunk's data.
func (p *Parser) readChunkEnd(b []byte) (element, *Error) {
	available := b[:min(len(b), len(crlf))]
	if !bytes.HasPrefix(crlf, available) {
		return element{}, malformed("chunk does not end in CRLF")
	}
	if len(available) < len(crlf) {
		return element{}, nil
	}
	p.state = stateChunkSize
	return element{consumed: len(crlf)}, nil
}

// readTrailerLine consumes a line of the trailer. It checks and discards fields. An empty line ends the
// message.
func (p *Parser) readTrailerLine(b []byte) (element, *Error) {
	line, n, err := p.readLine(b, p.limits.Headers-p.trailerSize, http.StatusRequestHeaderFieldsTooLarge)
	if err != nil || n == 0 {
		return element{}, err
	}
	p.trailerSize += n
	if len(line) == 0 {
		p.state = stateEnd
		return element{consumed: n}, nil
	}
	if _, err := parseField(line, p.isResponse); err != nil {
		return element{}, err
	}
	return element{consumed: n}, nil
}

// readLine returns the next line without its CRLF, and its size in bytes including the CRLF. The size
// is 0 while the line is incomplete. A size above limit is an error with the given status.
func (p *Parser) readLine(b []byte, limit, status int) (line []byte, size int, err *Error) {
	newline := bytes.IndexByte(b[min(p.scanned, len(b)):], '\n')
	if newline < 0 {
		p.scanned = len(b)
		if len(b) > limit {
			return nil, 0, &Error{Status: status, Reason: "line is longer than the limit"}
		}
		return nil, 0, nil
	}
	newline += p.scanned
	p.scanned = 0
	size = newline + 1
	if size > limit {
		return nil, 0, &Error{Status: status, Reason: "line is longer than the limit"}
	}
	if newline == 0 || b[newline-1] != '\r' {
		return nil, 0, malformed("line ends in a bare LF")
	}
	return b[:newline-1], size, nil
}
