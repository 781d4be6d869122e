package platformtest

import (
	"bufio"
	"io"
	"net/http"
)

// Answer is the answer that a client received.
type Answer struct {
	Code       int // HTTP status; 0 if the connection ended before the head was complete
	Header     http.Header
	Body       string
	IsComplete bool // the body was received up to its last byte or chunk
	ConnEnded  bool // the connection ended before the answer was complete
}

// ReadAnswer reads one answer. If it is incomplete, the result has the part that was received.
func ReadAnswer(reader *bufio.Reader) Answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Answer{ConnEnded: true}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Code: response.StatusCode, Header: response.Header, Body: string(body), IsComplete: err == nil, ConnEnded: err != nil}
}

// IsCompleteStream reports whether the answer is 200 with the complete stream of Events.
func (a Answer) IsCompleteStream() bool {
	return a.Code == http.StatusOK && a.IsComplete && a.Body == Events
}
