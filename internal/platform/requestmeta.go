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

// chatPath is where clients send their requests.
const chatPath = "/v1/chat/completions"

// The header fields of a client's request. headerTimeBudget is one more.
const (
	headerCallID    = "X-Call-Id"
	headerClass     = "X-Call-Class"
	headerRouteHash = "X-Route-Hash" // the session
	headerCallInfo  = "X-Call-Info"  // facts about the prompt: key=value, separated by commas
	headerAgain     = "X-Again"      // headerAgainValue if the client resumes a truncated stream
)

// headerAgainValue is the value of headerAgain of a client that resumes a stream.
const headerAgainValue = "again"

const (
	// maxCallIDBytes bounds a call's id, which is part of paths and of log lines.
	maxCallIDBytes = 128
	// maxTokens bounds a stated number of tokens. It is far above any prompt, and sums of many such numbers
	// stay precise in a float64.
	maxTokens = 1e8
)

// requestMeta is what the head of a client's request says about it.
type requestMeta struct {
	callID      string
	target      string
	contentType string
	timeBudget  time.Duration
	request     control.Request // ID and Deadline are not set
}

// headerError is an unusable header field of a client's request. The client receives its text.
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
	again      string
}

// readRequestHeaders returns the header fields of a request's head. The error is a *headerError for one
// that is given more than once.
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
		{headerAgain, &headers.again},
	} {
		value, err := singleValue(head, field.name)
		if err != nil {
			return requestHeaders{}, err
		}
		*field.value = value
	}
	return headers, nil
}

// singleValue returns the value of a header field that must not be given more than once, or "" if the
// field is missing.
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
	meta.request.Resumed = settings.ResumesStreams && headers.again == headerAgainValue
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

// parseTokens decodes a number of tokens.
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

// nameHash returns the decision module's number of a name, or 0 for the empty name. All routers derive the
// same number. A name of 16 hexadecimal digits is that number.
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
