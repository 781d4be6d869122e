package openaiserver

import (
	"bytes"
	"strings"

	"martenlock/internal/http1"
)

// clientRequestIDHeader is the header field with a client's own id for a request. A batch sends a list of its members'
// ids.
const clientRequestIDHeader = "x-client-request-id"

// maxClientRequestIDListBytes limits the total length of the ids that a batch sends, because engines limit the length
// of a header field.
const maxClientRequestIDListBytes = 4 << 10

// commonHeaders returns the header fields for a batch: the fields that all members have, and a field with the list of
// the members' own ids. headers holds the header fields of each member, each ending with CRLF.
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

// clientRequestIDs returns the members' own ids. It omits ids that would exceed maxClientRequestIDListBytes.
func clientRequestIDs(headers [][]byte) (ids []string) {
	size := 0
	for _, fields := range headers {
		for line := range bytes.Lines(fields) {
			name, value, _ := strings.Cut(string(line), ":")
			if name == clientRequestIDHeader && size+len(value) < maxClientRequestIDListBytes {
				ids = append(ids, strings.TrimSpace(value))
				size += len(value)
			}
		}
	}
	return ids
}

// allContain reports whether the header fields of every member contain the line.
func allContain(headers [][]byte, line []byte) bool {
	for _, fields := range headers {
		if !bytes.HasPrefix(fields, line) && !bytes.Contains(fields, append([]byte("\n"), line...)) {
			return false
		}
	}
	return true
}
