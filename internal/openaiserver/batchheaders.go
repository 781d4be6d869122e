package openaiserver

import (
	"bytes"
	"strings"

	"martenlock/internal/http1"
)

// clientRequestIDHeader is a client's own id of a request. A batch lists those of its members.
const clientRequestIDHeader = "x-client-request-id"

// maxClientRequestIDBytes bounds the list, which engines must accept in one field.
const maxClientRequestIDBytes = 4 << 10

// commonHeaders returns the header fields that all requests have, and the list of their own ids.
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

// clientRequestIDs returns the clients' own ids, as far as the list may have them.
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

// allContain tells whether a line is in all of the lists of header fields.
func allContain(headers [][]byte, line []byte) bool {
	for _, lines := range headers {
		if !bytes.HasPrefix(lines, line) && !bytes.Contains(lines, append([]byte("\n"), line...)) {
			return false
		}
	}
	return true
}
