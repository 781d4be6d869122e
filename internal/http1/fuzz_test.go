package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// FuzzRequests compares the parser with net/http: the results for a request that both accept must be
// equal. They must not depend on how the input is split.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("POST /p?q HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n"), 3)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nA: b\r\n\r\n"), 1)
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, in []byte, pieceSize int) {
		pieceSize = max(pieceSize&0xff, 1)
		got, err := parseAll(NewRequestParser(&limits), in, len(in)+1)
		inPieces, inPiecesErr := parseAll(NewRequestParser(&limits), in, pieceSize)
		if fmt.Sprint(got) != fmt.Sprint(inPieces) || (err == nil) != (inPiecesErr == nil) {
			t.Fatalf("whole: %v %v\nin pieces of %d: %v %v", got, err, pieceSize, inPieces, inPiecesErr)
		}
		reader := bufio.NewReader(bytes.NewReader(in))
		for i, m := range got {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			line := req.Method + " " + req.RequestURI + " 0"
			if line != m.line || string(body) != m.body {
				t.Fatalf("message %d: net/http parses %q %q, this parser %q %q", i, line, body, m.line, m.body)
			}
		}
	})
}
