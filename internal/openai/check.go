package openai

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/tidwall/gjson"
)

// Reasons that a ResponseError wraps.
var (
	ErrInvalidJSON    = errors.New("response is not valid JSON")
	ErrNoResultList   = errors.New("list of results is missing")
	ErrResultCount    = errors.New("wrong number of results")
	ErrResultIndex    = errors.New("index is missing, repeated or out of range")
	ErrNoScore        = errors.New("score is missing or not a finite number")
	ErrNoEmbedding    = errors.New("embedding is neither a list nor a string")
	ErrInvalidBase64  = errors.New("embedding is not base64 of 32-bit floats")
	ErrNotFinite      = errors.New("embedding has an element that is not a finite number")
	ErrEmptyEmbedding = errors.New("embedding has no elements")
	ErrDimensionCount = errors.New("wrong number of dimensions")
)

// ResponseError describes why an engine's response is invalid. The response must not be passed on to a client.
type ResponseError struct {
	Field string // JSON path, such as "data[3].embedding"; "" for the whole response
	Err   error  // wraps one of the reasons above
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return e.Field + ": " + e.Err.Error()
}

// Unwrap returns e.Err.
func (e *ResponseError) Unwrap() error { return e.Err }

// bytesPerFloat is the size in bytes of one element of a base64 embedding after decoding.
const bytesPerFloat = 4

// NeedsResponseCheck reports whether CheckResponse examines responses to the request.
func (r *Request) NeedsResponseCheck() bool { return r.API.HasOneStage() }

// CheckResponse checks an engine's response to an embeddings or rerank request. It returns a
// *ResponseError unless all of these hold: each item of the request has exactly one result, or top_n
// items have one if a rerank request sets it; scores and elements of embeddings are finite numbers;
// all embeddings have the same length, which is the requested one if the request sets dimensions.
// Responses of other operations are not examined.
func (r *Request) CheckResponse(body []byte) error {
	if !r.NeedsResponseCheck() {
		return nil
	}
	if !IsValidJSON(body) {
		return &ResponseError{Err: ErrInvalidJSON}
	}
	name := r.API.resultMember()
	list := gjson.GetBytes(body, name)
	if !list.IsArray() {
		return &ResponseError{Field: name, Err: ErrNoResultList}
	}
	checker := resultChecker{api: r.API, seen: make([]bool, r.ItemCount), dimensions: r.Dimensions}
	var err error
	list.ForEach(func(_, result gjson.Result) bool {
		err = checker.checkResult(result)
		return err == nil
	})
	if err != nil {
		return err
	}
	want := r.expectedResultCount()
	if checker.checkedCount != want {
		return &ResponseError{Field: name, Err: fmt.Errorf("%w: %d, want %d", ErrResultCount, checker.checkedCount, want)}
	}
	return nil
}

// expectedResultCount returns the number of results that a response must have. top_n of a rerank
// request limits it.
func (r *Request) expectedResultCount() int {
	if r.API == Rerank && r.TopN > 0 {
		return min(r.TopN, r.ItemCount)
	}
	return r.ItemCount
}

// resultChecker checks the results of one response in order.
type resultChecker struct {
	api          API
	seen         []bool // whether an item of the request has a result already, by the item's index
	dimensions   int    // requested length of an embedding, or else length of the last one; 0 if neither is known
	checkedCount int    // number of results checked so far
}

// checkResult returns a *ResponseError if the next result is invalid.
func (c *resultChecker) checkResult(result gjson.Result) error {
	err := c.checkIndex(result.Get("index"))
	if err != nil {
		return err
	}
	if c.api == Rerank {
		err = c.checkScore(result.Get("relevance_score"))
	} else {
		err = c.checkEmbedding(result.Get("embedding"))
	}
	c.checkedCount++
	return err
}

// memberError returns a *ResponseError for a member of the current result.
func (c *resultChecker) memberError(member string, reason error) error {
	field := fmt.Sprintf("%s[%d].%s", c.api.resultMember(), c.checkedCount, member)
	return &ResponseError{Field: field, Err: reason}
}

// checkIndex checks that the index belongs to an item of the request, and that no earlier result has it.
func (c *resultChecker) checkIndex(value gjson.Result) error {
	index, err := strconv.Atoi(value.Raw)
	if err != nil || index < 0 || index >= len(c.seen) || c.seen[index] {
		return c.memberError("index", fmt.Errorf("%w, want one of 0 to %d", ErrResultIndex, len(c.seen)-1))
	}
	c.seen[index] = true
	return nil
}

func (c *resultChecker) checkScore(score gjson.Result) error {
	if !isFiniteNumber(score) {
		return c.memberError("relevance_score", ErrNoScore)
	}
	return nil
}

// checkEmbedding checks that all elements of an embedding are finite and that it has the expected
// length.
func (c *resultChecker) checkEmbedding(embedding gjson.Result) error {
	dimensions, err := countDimensions(embedding)
	if err != nil {
		return c.memberError("embedding", err)
	}
	if dimensions == 0 {
		return c.memberError("embedding", ErrEmptyEmbedding)
	}
	if c.dimensions > 0 && dimensions != c.dimensions {
		return c.memberError("embedding", fmt.Errorf("%w: %d, want %d", ErrDimensionCount, dimensions, c.dimensions))
	}
	c.dimensions = dimensions
	return nil
}

// countDimensions returns the number of elements of an embedding, which is a list of numbers or a
// base64 string.
func countDimensions(embedding gjson.Result) (int, error) {
	switch {
	case embedding.Type == gjson.String:
		return countBase64Floats(embedding.Str)
	case embedding.IsArray():
		return countNumbers(embedding)
	}
	return 0, ErrNoEmbedding
}

// countBase64Floats returns the number of 32-bit floats in a base64 string. It returns an error if
// one of them is not finite.
func countBase64Floats(text string) (int, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw)%bytesPerFloat != 0 {
		return 0, ErrInvalidBase64
	}
	for offset := 0; offset < len(raw); offset += bytesPerFloat {
		number := math.Float32frombits(binary.LittleEndian.Uint32(raw[offset:]))
		isFinite := number-number == 0 // false for NaN and infinities
		if !isFinite {
			return 0, ErrNotFinite
		}
	}
	return len(raw) / bytesPerFloat, nil
}

// countNumbers returns the number of elements of a list. It returns an error if one of them is not a
// finite number.
func countNumbers(list gjson.Result) (int, error) {
	count := 0
	var err error
	list.ForEach(func(_, element gjson.Result) bool {
		if !isFiniteNumber(element) {
			err = ErrNotFinite
			return false
		}
		count++
		return true
	})
	return count, err
}

// isFiniteNumber reports whether value is a number within the range of a float64.
func isFiniteNumber(value gjson.Result) bool {
	return value.Type == gjson.Number && !math.IsInf(value.Num, 0)
}
