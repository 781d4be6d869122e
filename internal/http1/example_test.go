package http1_test

import (
	"fmt"

	"martenlock/internal/http1"
)

// A parser reports the head, the content and the end of a message one after another.
func ExampleParser() {
	parser := http1.NewRequestParser(&http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1000})
	input := []byte("POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi")
	for {
		consumed, kind, data, err := parser.Next(input)
		if err != nil {
			fmt.Println(err)
			return
		}
		input = input[consumed:]
		switch kind {
		case http1.NeedMore:
			return
		case http1.HeadDone:
			fmt.Printf("%s %s, %d bytes\n", parser.Head.Method, parser.Head.Target, parser.Head.ContentLength)
		case http1.Data:
			fmt.Printf("%s\n", data)
		case http1.End:
			fmt.Println("end")
		}
	}
	// Output:
	// POST /v1/embeddings, 2 bytes
	// hi
	// end
}
