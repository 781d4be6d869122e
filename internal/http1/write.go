package http1

import "strconv"

// The Append functions append to a buffer of the caller and return the extended buffer, like append.
// They keep no reference to it or to the other arguments. They do not validate arguments: names and
// values must not contain CR or LF.

// AppendRequest appends the request line. The caller appends the fields and the empty line that ends
// the head.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendStatus appends the status line. The caller appends the fields and the empty line that ends the
// head.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendField appends a header field.
func AppendField[T string | []byte](b []byte, name string, value T) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendContentLength appends a Content-Length field and the empty line that ends the head.
func AppendContentLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n\r\n"...)
}

// AppendChunk appends a chunk. If data is empty, it appends nothing, as an empty chunk would end the
// content.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends chunked content that has no trailer.
const LastChunk = "0\r\n\r\n"
