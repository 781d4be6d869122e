package platformtest

import (
	"bufio"
	"io"
	"net/http"
)

// Answer is an answer as a client received it.
type Answer struct {
	Code       int // 0 if the connection ended without an answer
	Header     http.Header
	Body       string
	IsComplete bool // to its last chunk
	ConnEnded  bool // before the answer was complete
}

// ReadAnswer reads one answer.
func ReadAnswer(reader *bufio.Reader) Answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Answer{ConnEnded: true}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Code: response.StatusCode, Header: response.Header, Body: string(body), IsComplete: err == nil, ConnEnded: err != nil}
}

// IsCompleteStream reports whether the answer is a complete stream of Events.
func (a Answer) IsCompleteStream() bool {
	return a.Code == http.StatusOK && a.IsComplete && a.Body == Events
}
