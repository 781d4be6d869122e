package openaiserver

import (
	"bytes"
	"strings"

	"martenlock/internal/http1"
)

// clientRequestIDHeader is the header field with a client's own id of a request. A batch lists those of its members.
const clientRequestIDHeader = "x-client-request-id"

// maxClientRequestIDBytes bounds the list of a batch: engines must accept it as one header field.
const maxClientRequestIDBytes = 4 << 10

// commonHeaders returns the header fields that all members of a batch have, and one with the list of their ids.
// headers holds the fields of each member.
func commonHeaders(headers [][]byte) (common []byte) {
	for line := range bytes.Lines(headers[0]) {
		name, _, _ := strings.Cut(string(line), ":")
		if name != clientRequestIDHeader && allContain(headers, line) {
			common = append(common, line...)
		}
	}
	ids := clientRequestIDs(headers)
	if len(ids) > 0 {
		common = http1.AppendField(common, clientRequestIDHeader, strings.Join(ids, ", "))
	}
	return common
}

// clientRequestIDs returns the members' own ids, up to maxClientRequestIDBytes in total.
func clientRequestIDs(headers [][]byte) (ids []string) {
	size := 0
	for _, lines := range headers {
		for line := range bytes.Lines(lines) {
			name, value, _ := strings.Cut(string(line), ":")
			if name == clientRequestIDHeader && size+len(value) < maxClientRequestIDBytes {
				ids = append(ids, strings.TrimSpace(value))
				size += len(value)
			}
		}
	}
	return ids
}

// allContain reports whether each member's header fields contain the line.
func allContain(headers [][]byte, line []byte) bool {
	for _, lines := range headers {
		if !bytes.HasPrefix(lines, line) && !bytes.Contains(lines, append([]byte("\n"), line...)) {
			return false
		}
	}
	return true
}
