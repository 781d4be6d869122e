package openai

import (
	"fmt"
	"net/http"

	"github.com/tidwall/gjson"
)

// Error types and codes of OpenAI's API.
const (
	typeInvalidRequest        = "invalid_request_error"
	codeContextLengthExceeded = "context_length_exceeded"
)

// Error is an error response in the format of OpenAI's API.
type Error struct {
	Status  int    // HTTP status
	Message string // for the client's developers
	Type    string
	Param   string // name of the invalid request member; "" for none
	Code    string // "" for none
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// InvalidRequest returns an Error with status 400. param is the name of the invalid member, or "" if
// the error concerns the whole request. format and args are passed to fmt.Sprintf.
func InvalidRequest(param, format string, args ...any) *Error {
	return &Error{
		Status:  http.StatusBadRequest,
		Message: fmt.Sprintf(format, args...),
		Type:    typeInvalidRequest,
		Param:   param,
	}
}

// ContextLengthError returns the error for a request that is too long for the model or for the memory
// of every engine. contextLength is the exceeded limit and promptTokens the estimated length of the
// request's prompt or longest item, both in tokens.
func (r *Request) ContextLengthError(contextLength, promptTokens float64) *Error {
	param := r.API.contentMember()
	message := fmt.Sprintf("This model's maximum context length is %.0f tokens. However, your %s have about %.0f tokens", contextLength, param, promptTokens)
	if r.RequestedMaxTokens > 0 {
		message += fmt.Sprintf(" and %d are asked for the answer", r.RequestedMaxTokens)
	}
	err := InvalidRequest(param, "%s. Please reduce their length.", message)
	err.Code = codeContextLengthExceeded
	return err
}

// AppendJSON appends the error as the JSON body of a response.
func (e *Error) AppendJSON(out []byte) []byte {
	out = append(out, `{"error":{"message":`...)
	out = gjson.AppendJSONString(out, e.Message)
	out = append(out, `,"type":`...)
	out = gjson.AppendJSONString(out, e.Type)
	out = append(out, `,"param":`...)
	out = appendStringOrNull(out, e.Param)
	out = append(out, `,"code":`...)
	out = appendStringOrNull(out, e.Code)
	return append(out, "}}"...)
}

// appendStringOrNull appends text as a JSON string, or null if it is empty.
func appendStringOrNull(out []byte, text string) []byte {
	if text == "" {
		return append(out, "null"...)
	}
	return gjson.AppendJSONString(out, text)
}
