package platform

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/platformsettings"
)

// chatPath is the path of clients' chat requests, the only ones that engines serve.
const chatPath = "/v1/chat/completions"

// The header fields of a client's request, besides headerTimeBudget.
const (
	headerCallID    = "X-Call-Id"
	headerClass     = "X-Call-Class"
	headerRouteHash = "X-Route-Hash" // the session's id
	headerCallInfo  = "X-Call-Info"  // key=value pairs about the prompt, separated by commas
	headerResume    = "X-Again"      // headerResumeValue if the client resumes a truncated stream
)

// headerResumeValue is the value of headerResume if the client resumes a stream.
const headerResumeValue = "again"

const (
	// maxCallIDBytes bounds a request's X-Call-Id, which is part of paths and log lines.
	maxCallIDBytes = 128
	// maxTokens bounds a number of tokens in a header field. Sums of many such numbers stay precise in
	// a float64.
	maxTokens = 1e8
)

// requestMeta holds what was parsed from the head of a client's request.
type requestMeta struct {
	callID      string
	target      string
	contentType string
	timeBudget  time.Duration
	request     control.Request // ID and Deadline are not set
}

// headerError reports an invalid header field of a client's request. The client receives its text.
type headerError struct {
	Header string // name of the field
	Reason string
}

// Error returns the header field and the reason.
func (e *headerError) Error() string { return e.Header + ": " + e.Reason }

// requestHeaders holds the values of the header fields that belong to the platform's protocol. Missing
// ones are empty.
type requestHeaders struct {
	callID     string
	class      string
	routeHash  string
	timeBudget string
	callInfo   string
	resume     string
}

// readRequestHeaders reads the header fields from a request's head. The error is a *headerError if a
// field occurs more than once.
func readRequestHeaders(head *http1.Head) (requestHeaders, error) {
	var headers requestHeaders
	for _, field := range [...]struct {
		name  string
		value *string
	}{
		{headerCallID, &headers.callID},
		{headerClass, &headers.class},
		{headerRouteHash, &headers.routeHash},
		{headerTimeBudget, &headers.timeBudget},
		{headerCallInfo, &headers.callInfo},
		{headerResume, &headers.resume},
	} {
		value, err := singleValue(head, field.name)
		if err != nil {
			return requestHeaders{}, err
		}
		*field.value = value
	}
	return headers, nil
}

// singleValue returns the value of a header field, or "" if the field is missing. The error is a
// *headerError if the field occurs more than once.
func singleValue(head *http1.Head, name string) (string, error) {
	value := ""
	count := 0
	for i := range head.Fields {
		field := &head.Fields[i]
		if len(field.Name) == len(name) && strings.EqualFold(string(field.Name), name) {
			value = string(field.Value)
			count++
		}
	}
	if count > 1 {
		return "", &headerError{Header: name, Reason: fmt.Sprintf("given %d times", count)}
	}
	return value, nil
}

// parseRequestMeta decodes the head of a chat request. Any error is a *headerError.
func parseRequestMeta(head *http1.Head, settings *platformsettings.Settings) (*requestMeta, error) {
	headers, err := readRequestHeaders(head)
	if err != nil {
		return nil, err
	}
	if !isCallID(headers.callID) {
		return nil, &headerError{Header: headerCallID, Reason: "missing, too long, or of other characters than letters, digits and -_.~"}
	}
	meta := &requestMeta{callID: headers.callID, target: string(head.Target), contentType: string(head.Get("content-type"))}
	meta.request.Class = slices.Index(settings.ClassNames, headers.class)
	if meta.request.Class < 0 || headers.class == "" {
		return nil, &headerError{Header: headerClass, Reason: fmt.Sprintf("there is no class %.60q", headers.class)}
	}
	meta.timeBudget, err = parseTimeBudget(headers.timeBudget)
	if err != nil {
		return nil, err
	}
	meta.request.SessionID = nameHash(headers.routeHash)
	meta.request.Resumed = settings.ResumesStreams && headers.resume == headerResumeValue
	err = parseCallInfo(headers.callInfo, &meta.request)
	if err != nil {
		return nil, err
	}
	return meta, nil
}

// parseCallInfo decodes the value of headerCallInfo into a request. Unknown keys are ignored.
func parseCallInfo(info string, request *control.Request) error {
	for part := range strings.SplitSeq(info, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch key {
		case "prefix":
			request.PrefixHash = nameHash(value)
		case "prompt_len":
			request.PromptTokens, err = parseTokens(value)
		case "prefix_len":
			request.PrefixTokens, err = parseTokens(value)
		case "max_out":
			request.MaxTokens, err = parseTokens(value)
		}
		if err != nil {
			return &headerError{Header: headerCallInfo, Reason: key + ": " + err.Error()}
		}
	}
	if request.PrefixTokens > request.PromptTokens {
		return &headerError{Header: headerCallInfo, Reason: "prefix_len is more than prompt_len"}
	}
	return nil
}

// parseTokens decodes a number of tokens, at most maxTokens.
func parseTokens(text string) (control.Tokens, error) {
	tokens, isDecimal := parseDecimal(text)
	if !isDecimal || tokens > maxTokens {
		return 0, fmt.Errorf("%.40q is no number of tokens", text)
	}
	return control.Tokens(tokens), nil
}

// isCallID reports whether an id is valid: not empty, not too long, and usable in a path without escapes.
func isCallID(id string) bool {
	for i := range len(id) {
		if !isUnreserved(id[i]) {
			return false
		}
	}
	isDotSegment := id == "." || id == ".."
	return id != "" && len(id) <= maxCallIDBytes && !isDotSegment
}

// isUnreserved reports whether c is an unreserved character of URIs (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	case c == '-', c == '_', c == '.', c == '~':
		return true
	}
	return false
}

// nameHash returns the number that identifies a name in the decision module, or 0 for the empty name.
// All routers derive the same number. A name of 16 hexadecimal digits is taken as the number itself;
// any other name is hashed.
func nameHash(name string) uint64 {
	if name == "" {
		return 0
	}
	number, err := strconv.ParseUint(name, 16, 64)
	if err == nil && len(name) == 16 && number != 0 {
		return number
	}
	return max(xxhash.Sum64String(name), 1)
}
