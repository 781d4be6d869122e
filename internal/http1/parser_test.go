package http1

import (
	"fmt"
	"strings"
	"testing"
)

var limits = Limits{Line: 200, Headers: 600, Fields: 8, Body: 1000}

// message is a parsed message.
type message struct {
	line, body string // line is made of Method, Target and Status
	chunked    bool
	keepAlive  bool
}

// parseAll parses all messages of in, which is passed to the parser in pieces of pieceSize bytes.
func parseAll(p *Parser, in []byte, pieceSize int) ([]message, *Error) {
	var messages []message
	var current message
	from := 0
	for to := min(pieceSize, len(in)); ; to = min(to+pieceSize, len(in)) {
		for needMore := false; !needMore; {
			unconsumed := append([]byte(nil), in[from:to]...) // a copy, as the parser must not depend on earlier slices
			consumed, kind, data, err := p.Next(unconsumed)
			from += consumed
			if err != nil {
				return messages, err
			}
			switch kind {
			case NeedMore:
				needMore = true
			case HeadDone:
				h := &p.Head
				current = message{line: fmt.Sprintf("%s %s %d", h.Method, h.Target, h.Status), chunked: h.Chunked, keepAlive: h.KeepAlive}
			case Data:
				current.body += string(data)
			case End:
				messages = append(messages, current)
			}
		}
		if to == len(in) {
			if p.isResponse && p.EndOfInput() {
				messages = append(messages, current)
			}
			return messages, nil
		}
	}
}

// TestRequestParsingDoesNotDependOnSplit: whether a request is accepted, and the status with which it is
// rejected, does not depend on how the input is split.
func TestRequestParsingDoesNotDependOnSplit(t *testing.T) {
	const host = "Host: a\r\n"
	post := func(rest string) string { return "POST /p HTTP/1.1\r\n" + host + rest }
	for _, c := range []struct {
		name, in string
		status   int // 0 if accepted
		bodies   string
	}{
		{"plain", "GET / HTTP/1.1\r\n" + host + "\r\n", 0, "|"},
		{"empty line before", "\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 0, "|"},
		{"length", post("Content-Length: 3\r\n\r\nabc"), 0, "abc|"},
		{"pipelined", post("Content-Length: 3\r\n\r\nabc") + "GET / HTTP/1.1\r\n" + host + "\r\n" + post("Content-Length: 1\r\n\r\nd"), 0, "abc||d|"},
		{"chunked", post("Transfer-Encoding: Chunked\r\n\r\n3;x=\"y\"\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n"), 0, "abc0123456789|"},
		{"1.0", "GET / HTTP/1.0\r\n\r\n", 0, "|"},
		{"expect", post("Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"), 0, "x|"},
		{"two lengths", post("Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), 400, ""},
		{"list of lengths", post("Content-Length: 3, 3\r\n\r\nabc"), 400, ""},
		{"signed length", post("Content-Length: +3\r\n\r\nabc"), 400, ""},
		{"length and chunked", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400, ""},
		{"chunked twice", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 501, ""},
		{"list of codings", post("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 501, ""},
		{"chunked in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"bare LF", "GET / HTTP/1.1\nHost: a\n\n", 400, ""},
		{"bare LF after fields", "GET / HTTP/1.1\r\n" + host + "\n", 400, ""},
		{"CR in value", "GET / HTTP/1.1\r\n" + host + "A: b\rC: d\r\n\r\n", 400, ""},
		{"obs-fold", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400, ""},
		{"space before colon", "GET / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\n", 400, ""},
		{"no name", "GET / HTTP/1.1\r\n" + host + ": x\r\n\r\n", 400, ""},
		{"NUL", "GET / HTTP/1.1\r\n" + host + "A: \x00\r\n\r\n", 400, ""},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, ""},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", 400, ""},
		{"two spaces", "GET  / HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"version 2", "PRI * HTTP/2.0\r\n" + host + "\r\n", 505, ""},
		{"malformed version", "GET / HTTP/1.x\r\n" + host + "\r\n", 400, ""},
		{"unknown expectation", post("Expect: tea\r\n\r\n"), 417, ""},
		{"chunk size not hex", post("Transfer-Encoding: chunked\r\n\r\nxyz\r\n"), 400, ""},
		{"chunk size signed", post("Transfer-Encoding: chunked\r\n\r\n-1\r\n"), 400, ""},
		{"chunk size 0x", post("Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n"), 400, ""},
		{"chunk size overflow", post("Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n"), 400, ""},
		{"space after chunk size", post("Transfer-Encoding: chunked\r\n\r\n1 \r\na\r\n"), 400, ""},
		{"chunk longer than its size", post("Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"), 400, ""},
		{"chunk bare LF", post("Transfer-Encoding: chunked\r\n\r\n1\na\r\n"), 400, ""},
		{"long line", "GET /" + strings.Repeat("x", 300), 414, ""},
		{"complete long line", "GET /" + strings.Repeat("x", 300) + " HTTP/1.1\r\n" + host + "\r\n", 414, ""},
		{"large fields", "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("x", 700), 431, ""},
		{"many fields", "GET / HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", 9) + "\r\n", 431, ""},
		{"large trailer", post("Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: bbbbbbbbbb\r\n", 60)), 431, ""},
		{"long content", post("Content-Length: 1001\r\n\r\n"), 413, ""},
		{"long chunks", post("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", 11)), 413, ""},
	} {
		for _, pieceSize := range []int{1, 2, 7, 1 << 20} {
			got, err := parseAll(NewRequestParser(&limits), []byte(c.in), pieceSize)
			bodies := ""
			for _, m := range got {
				bodies += m.body + "|"
			}
			if err == nil && c.status != 0 || err != nil && err.Status != c.status || c.status == 0 && bodies != c.bodies {
				t.Errorf("%s in pieces of %d bytes: error %v, bodies %q; want status %d, bodies %q", c.name, pieceSize, err, bodies, c.status, c.bodies)
			}
		}
	}
}

// TestResponseParsingDoesNotDependOnSplit: the responses that the parser finds do not depend on how the
// input is split. Their content has a length, is chunked or ends with the connection.
func TestResponseParsingDoesNotDependOnSplit(t *testing.T) {
	in := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" +
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nHTTP/1.0 503 Busy\r\n\r\ntill the end"
	want := []message{{"  200", "hi", false, true}, {"  204", "", false, true}, {"  200", "a", true, true}, {"  503", "till the end", false, false}}
	for _, pieceSize := range []int{1, 3, 1 << 20} {
		got, err := parseAll(NewResponseParser(&limits), []byte(in), pieceSize)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("in pieces of %d bytes: got %v, %v; want %v", pieceSize, got, err, want)
		}
	}
	for _, in := range []string{
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 101 Go\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		if got, err := parseAll(NewResponseParser(&limits), []byte(in), 5); err == nil {
			t.Errorf("%q was parsed as %v, want an error", in, got)
		}
	}
}

// TestResponseFieldMayContainControlCharacters: in a response's field only NUL and a bare CR are rejected,
// in a request's field all control characters.
func TestResponseFieldMayContainControlCharacters(t *testing.T) {
	limits := &Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1000}
	for value, isValidInResponse := range map[string]bool{"a\x01b\x7f": true, "a\x00b": false, "a\rb": false, "ab": true} {
		_, _, _, err := NewResponseParser(limits).Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + value + "\r\n\r\n"))
		if (err == nil) != isValidInResponse {
			t.Errorf("response with field value %q: error %v, want valid %v", value, err, isValidInResponse)
		}
		_, _, _, err = NewRequestParser(limits).Next([]byte("GET / HTTP/1.1\r\nHost: x\r\nX: " + value + "\r\n\r\n"))
		if (err == nil) != (value == "ab") {
			t.Errorf("request with field value %q: error %v, want valid %v", value, err, value == "ab")
		}
	}
}
