// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) on both sides of a proxy.
// It does no I/O: a Parser is fed the bytes that have come and says what they are.
//
// It takes less than the RFC allows a lenient recipient to take, since what two
// parsers read differently can smuggle a request: a line ends in CRLF and nothing
// else, a message has one length, a name is followed by its colon at once.
package http1

import (
	"bytes"
	"fmt"
)

// Limits bound what a parser accepts. All must be set.
type Limits struct {
	Line    int   // bytes of the start line
	Headers int   // bytes of the start line and all fields together, and of a trailer
	Fields  int   // number of fields
	Body    int64 // bytes of content, after chunks are undone
}

// Error says what is wrong with a message and which status a server answers.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func bad(reason string) *Error { return &Error{400, reason} }

// Field is one header field; the slices lie in the bytes that were fed.
type Field struct{ Name, Value []byte }

// Head is the start line and the fields of a message.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Minor          int    // HTTP/1.Minor
	Fields         []Field
	Length         int64 // of the content; -1 where it is not told ahead
	Chunked        bool
	KeepAlive      bool
	Continue       bool // the client waits for 100 (Continue)
}

// Get returns the value of the first field of a name, or nil. name is in lower case.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c |= 0x20
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// Kind is what Next found.
type Kind uint8

// The kinds: more bytes are needed; Parser.Head is set; Data is content; the message
// has ended and the next one may begin.
const (
	More Kind = iota
	HeadDone
	Data
	End
)

type state uint8

const (
	inHead state = iota
	inLength
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose
	atEnd
)

// Parser reads one message after another. Make it with NewRequests or NewResponses.
type Parser struct {
	Head     Head
	limits   *Limits
	response bool
	state    state
	scanned  int   // bytes of the head or line at hand that are known to be well ended so far
	left     int64 // of the content or the chunk
	taken    int64 // content so far
	trailer  int
}

// NewRequests returns a parser for a server.
func NewRequests(limits *Limits) *Parser { return &Parser{limits: limits} }

// NewResponses returns a parser for a client. It knows nothing of methods: it is for
// requests whose responses have content (RFC 9112, section 6.3, rules 1 and 2).
func NewResponses(limits *Limits) *Parser { return &Parser{limits: limits, response: true} }

// Idle tells that the parser stands between messages.
func (p *Parser) Idle() bool { return p.state == inHead && p.scanned == 0 }

// Next looks at b, which begins with the first byte not consumed before, and returns
// how many bytes it consumed. data is set for Data alone and lies in b, as does Head
// until more bytes are fed.
func (p *Parser) Next(b []byte) (used int, kind Kind, data []byte, err *Error) {
	for {
		n, kind, data, err := p.step(b[used:])
		used += n
		if kind != More || err != nil || n == 0 {
			return used, kind, data, err
		}
	}
}

// Close tells a parser of responses that the connection has ended. It returns true
// where that ends a message well: one whose length is told by the close alone.
func (p *Parser) Close() bool {
	whole := p.state == untilClose
	if whole {
		p.state = atEnd
	}
	return whole
}

func (p *Parser) step(b []byte) (int, Kind, []byte, *Error) {
	switch p.state {
	case inHead:
		return p.head(b)
	case inLength, inChunk:
		if p.left == 0 {
			if p.state == inChunk {
				p.state = inChunkEnd
				return p.step(b)
			}
			p.state = atEnd
			return p.step(b)
		}
		n := int(min(int64(len(b)), p.left))
		if n == 0 {
			return 0, More, nil, nil
		}
		p.left -= int64(n)
		return n, Data, b[:n], nil
	case untilClose:
		if p.taken += int64(len(b)); p.taken > p.limits.Body {
			return 0, More, nil, &Error{413, "content is longer than the limit"}
		}
		if len(b) == 0 {
			return 0, More, nil, nil
		}
		return len(b), Data, b, nil
	case inChunkSize:
		return p.chunkSize(b)
	case inChunkEnd:
		if len(b) < 2 {
			if len(b) == 1 && b[0] != '\r' {
				return 0, More, nil, bad("chunk does not end in CRLF")
			}
			return 0, More, nil, nil
		}
		if b[0] != '\r' || b[1] != '\n' {
			return 0, More, nil, bad("chunk does not end in CRLF")
		}
		p.state = inChunkSize
		return 2, More, nil, nil
	case inTrailer:
		line, n, err := p.line(b, p.limits.Headers-p.trailer, 431)
		if err != nil || n == 0 {
			return 0, More, nil, err
		}
		p.trailer += n
		if len(line) == 0 {
			p.state = atEnd
			return n, More, nil, nil
		}
		if _, err := field(line, p.response); err != nil {
			return 0, More, nil, err
		}
		return n, More, nil, nil
	}
	p.state = inHead
	return 0, End, nil, nil
}

// line returns the next line without its CRLF and the bytes that it takes; 0 bytes
// where it is not whole.
func (p *Parser) line(b []byte, limit, status int) ([]byte, int, *Error) {
	i := bytes.IndexByte(b[min(p.scanned, len(b)):], '\n')
	if i < 0 {
		if p.scanned = len(b); len(b) > limit {
			return nil, 0, &Error{status, "line is longer than the limit"}
		}
		return nil, 0, nil
	}
	i += p.scanned
	p.scanned = 0
	if i+1 > limit {
		return nil, 0, &Error{status, "line is longer than the limit"}
	}
	if i == 0 || b[i-1] != '\r' {
		return nil, 0, bad("line ends in a bare LF")
	}
	return b[:i-1], i + 1, nil
}

const mostChunkDigits = 15 // more would overflow 63 bits

func (p *Parser) chunkSize(b []byte) (int, Kind, []byte, *Error) {
	line, n, err := p.line(b, p.limits.Line, 400)
	if err != nil || n == 0 {
		return 0, More, nil, err
	}
	size, digits := int64(0), 0
	for ; digits < len(line); digits++ {
		d := unhex(line[digits])
		if d < 0 {
			break
		}
		size = size<<4 | int64(d)
		if digits >= mostChunkDigits {
			return 0, More, nil, bad("chunk size has too many digits")
		}
	}
	rest := bytes.TrimLeft(line[digits:], " \t") // bad whitespace before an extension, RFC 9112 section 7.1.1
	if digits == 0 || len(rest) > 0 && rest[0] != ';' || len(rest) == 0 && digits < len(line) || !clean(rest) {
		return 0, More, nil, bad("malformed chunk size")
	}
	if p.taken += size; p.taken > p.limits.Body {
		return 0, More, nil, &Error{413, "content is longer than the limit"}
	}
	if p.left, p.state = size, inChunk; size == 0 {
		p.state, p.trailer = inTrailer, 0
	}
	return n, More, nil, nil
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}

// head waits for the empty line, looking at each byte once, then takes it all apart.
func (p *Parser) head(b []byte) (int, Kind, []byte, *Error) {
	first := p.scanned == 0
	end := 0
	for end == 0 {
		i := bytes.IndexByte(b[p.scanned:], '\n')
		if i < 0 {
			if p.scanned == 0 && len(b)-1 > p.limits.Line { // a CR may be the last
				return 0, More, nil, p.startLineTooLong()
			}
			if len(b) > p.limits.Headers {
				return 0, More, nil, &Error{431, "header fields are larger than the limit"}
			}
			return 0, More, nil, nil
		}
		i += p.scanned
		switch {
		case i == 0 || b[i-1] != '\r':
			return 0, More, nil, bad("line ends in a bare LF")
		case i == 1 && first && !p.response: // one empty line before a request, section 2.2
			return 2, More, nil, nil
		case i == 1:
			return 0, More, nil, bad("empty start line")
		case b[i-2] == '\n':
			end = i + 1
		case p.scanned == 0 && i-1 > p.limits.Line:
			return 0, More, nil, p.startLineTooLong()
		}
		if p.scanned = i + 1; p.scanned > p.limits.Headers {
			return 0, More, nil, &Error{431, "header fields are larger than the limit"}
		}
	}
	p.scanned, p.taken = 0, 0
	h := &p.Head
	*h = Head{Fields: h.Fields[:0]}
	lines := b[:end-2]
	start, lines := cut(lines)
	err := p.startLine(start)
	for err == nil && len(lines) > 0 {
		var line []byte
		line, lines = cut(lines)
		if len(h.Fields) == p.limits.Fields {
			return 0, More, nil, &Error{431, "more header fields than the limit"}
		}
		var f Field
		f, err = field(line, p.response)
		h.Fields = append(h.Fields, f)
	}
	if err == nil {
		err = p.framing()
	}
	if err != nil {
		return 0, More, nil, err
	}
	if p.response && h.Status < 200 { // interim; 101 was never asked for
		if h.Status == 101 {
			return 0, More, nil, bad("unasked switch of protocols")
		}
		return end, More, nil, nil
	}
	return end, HeadDone, nil, nil
}

func (p *Parser) startLineTooLong() *Error {
	if p.response {
		return bad("status line is longer than the limit")
	}
	return &Error{414, "request line is longer than the limit"}
}

func cut(lines []byte) (line, rest []byte) {
	i := bytes.IndexByte(lines, '\n')
	return lines[:i-1], lines[i+1:]
}

func (p *Parser) startLine(line []byte) *Error {
	h := &p.Head
	if p.response {
		if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[7] != '0' && line[7] != '1' || line[8] != ' ' ||
			len(line) > 12 && line[12] != ' ' || !clean(line) {
			return bad("malformed status line")
		}
		for _, c := range line[9:12] {
			if c < '0' || c > '9' {
				return bad("malformed status code")
			}
			h.Status = h.Status*10 + int(c-'0')
		}
		if h.Status < 100 {
			return bad("malformed status code")
		}
		h.Minor = int(line[7] - '0')
		return nil
	}
	method, rest, ok := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok || !ok2 || !token(method) {
		return bad("malformed request line")
	}
	if len(target) == 0 {
		return bad("empty request target")
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return bad("malformed request target")
		}
	}
	switch {
	case len(version) != 8 || !bytes.HasPrefix(version, []byte("HTTP/")) || version[6] != '.' ||
		version[5] < '0' || version[5] > '9' || version[7] < '0' || version[7] > '9':
		return bad("malformed HTTP version")
	case version[5] != '1' || version[7] > '1':
		return &Error{505, "HTTP version is not 1.0 or 1.1"}
	}
	h.Method, h.Target, h.Minor = method, target, int(version[7]-'0')
	return nil
}

// field takes a header line apart. Of a response, control characters in a value are kept (RFC 9110,
// section 5.5, allows it but for CR, LF and NUL): what an engine says beside its answer must not
// spoil the answer.
func field(line []byte, lenient bool) (Field, *Error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, bad("folded header line")
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !token(name) {
		return Field{}, bad("malformed header field name")
	}
	value = bytes.Trim(value, " \t")
	if lenient && bytes.IndexByte(value, 0) < 0 && bytes.IndexByte(value, '\r') < 0 {
		return Field{name, value}, nil
	}
	if !clean(value) {
		return Field{}, bad("control character in a header field")
	}
	return Field{name, value}, nil
}

// framing decides where the message ends, RFC 9112 section 6.
func (p *Parser) framing() *Error {
	h := &p.Head
	h.KeepAlive, h.Length = h.Minor == 1, -1
	hosts, codings := 0, 0
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "content-length"):
			if h.Length >= 0 {
				return bad("two content lengths")
			}
			n, ok := decimal(f.Value)
			if !ok {
				return bad("malformed content length")
			}
			h.Length = n
		case equalFold(f.Name, "transfer-encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") {
				return &Error{501, "transfer coding other than chunked"}
			}
			h.Chunked = true
		case equalFold(f.Name, "host"):
			hosts++
		case equalFold(f.Name, "connection"):
			for option := range bytes.SplitSeq(f.Value, []byte{','}) {
				if option = bytes.Trim(option, " \t"); equalFold(option, "close") {
					h.KeepAlive = false
				} else if h.Minor == 0 && equalFold(option, "keep-alive") {
					h.KeepAlive = true
				}
			}
		case equalFold(f.Name, "expect"):
			if h.Continue = equalFold(f.Value, "100-continue"); !h.Continue && !p.response {
				return &Error{417, "unknown expectation"}
			}
		}
	}
	switch {
	case p.response && h.Status < 200: // interim: no content, and the response itself follows
		return nil
	case h.Chunked && h.Length >= 0:
		return bad("both a content length and a transfer coding")
	case h.Chunked && h.Minor == 0:
		return bad("transfer coding in HTTP/1.0")
	case !p.response && (hosts > 1 || hosts == 0 && h.Minor == 1):
		return bad("not exactly one Host field")
	case p.response && (h.Status == 204 || h.Status == 304):
		h.Chunked, h.Length = false, 0
	case p.response && !h.Chunked && h.Length < 0:
		h.KeepAlive, p.state = false, untilClose
		return nil
	case !h.Chunked && h.Length < 0:
		h.Length = 0
	}
	if h.Length > p.limits.Body {
		return &Error{413, "content is longer than the limit"}
	}
	if p.state, p.left = inLength, h.Length; h.Chunked {
		p.state = inChunkSize
	}
	return nil
}

// decimal reads a length: digits alone, no sign, no list.
func decimal(b []byte) (int64, bool) {
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<58 {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, len(b) > 0
}

// tchar marks the characters of a token, RFC 9110 section 5.6.2.
var tchar = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		t[c] = true
	}
	return t
}()

func token(b []byte) bool {
	for _, c := range b {
		if !tchar[c] {
			return false
		}
	}
	return len(b) > 0
}

// clean tells that there is no control character but the tab.
func clean(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
