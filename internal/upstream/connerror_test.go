package upstream

import "testing"

// TestConnErrorTextNamesStageOfFailure: each stage at which a request can fail has its own text.
func TestConnErrorTextNamesStageOfFailure(t *testing.T) {
	for want, err := range map[string]ConnError{
		"upstream: connection not established":                         {},
		"upstream: connection closed before the request was written":   {Established: true},
		"upstream: connection closed before the response was complete": {Established: true, RequestWritten: true},
		"upstream: reused connection closed before the response":       {Established: true, RequestWritten: true, ReusedConnection: true},
		"upstream: malformed response: chunk does not end in CRLF":     {Established: true, RequestWritten: true, Malformed: "chunk does not end in CRLF"},
	} {
		if got := err.Error(); got != want {
			t.Errorf("%+v: %q, want %q", err, got, want)
		}
	}
}
