package http1

import "strconv"

// AppendRequest begins a request; fields and the empty line follow.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(append(append(b, method...), ' '), target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendStatus begins a response; fields and the empty line follow.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendField adds a header field.
func AppendField[T string | []byte](b []byte, name string, value T) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, "\r\n"...)
}

// AppendLength adds Content-Length and the empty line.
func AppendLength(b []byte, n int) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10)
	return append(b, "\r\n\r\n"...)
}

// AppendChunk adds a chunk; an empty one would end the content and is left out.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = append(strconv.AppendInt(b, int64(len(data)), 16), "\r\n"...)
	return append(append(b, data...), "\r\n"...)
}

// LastChunk ends chunked content.
const LastChunk = "0\r\n\r\n"

// StatusText is the reason phrase of the codes that are used here.
func StatusText(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 417:
		return "Expectation Failed"
	case 424:
		return "Failed Dependency"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}
