package http1

import (
	"strings"
	"testing"
)

// BenchmarkRequest measures the parsing of a typical embeddings request. It must not allocate.
func BenchmarkRequest(b *testing.B) {
	in := []byte("POST /v1/embeddings HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nUser-Agent: x/1.0\r\nAccept: application/json\r\n" +
		"Content-Type: application/json\r\nAuthorization: Bearer abc\r\nContent-Length: 40\r\n\r\n" + strings.Repeat("x", 40))
	p := NewRequestParser(&limits)
	b.SetBytes(int64(len(in)))
	b.ReportAllocs()
	for b.Loop() {
		for rest := in; ; {
			consumed, kind, _, err := p.Next(rest)
			if err != nil {
				b.Fatal(err)
			}
			rest = rest[consumed:]
			if kind == End {
				break
			}
		}
	}
}
