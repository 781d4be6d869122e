package openai

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// Values of encoding_format: the encodings of the embeddings in a response.
const (
	encodingFloat  = "float"
	encodingBase64 = "base64"
)

// decodeEmbeddings decodes the members that only embeddings requests have.
func (r *Request) decodeEmbeddings(fields *requestFields, options *DecodeOptions) *Error {
	encoding, err := decodeString("encoding_format", fields.encodingFormat)
	isKnown := !isSet(fields.encodingFormat) || encoding == encodingFloat || encoding == encodingBase64
	if err != nil || !isKnown {
		return InvalidRequest("encoding_format", "encoding_format must be float or base64")
	}
	r.Dimensions, err = decodeCount("dimensions", fields.dimensions)
	if err != nil {
		return err
	}
	return r.decodeInputs("input", fields.input, options)
}

// inputKind is the kind of an element of a list of inputs.
type inputKind uint8

const (
	inputInvalid inputKind = iota // invalid
	inputText                     // text
	// inputToken is a token. The list as a whole is one input.
	inputToken // token
	// inputTokenList is a list of tokens, which is one input.
	inputTokenList // token list
)

// invalidInputsError returns the error for a member that decodeInputs does not accept.
func invalidInputsError(name string) *Error {
	return InvalidRequest(name, "%s must be a string, a list of strings, a list of tokens or a list of lists of tokens; none empty", name)
}

// decodeInputs decodes a member that holds inputs: a string, a list of strings, a list of tokens, or
// a list of lists of tokens.
func (r *Request) decodeInputs(name string, value gjson.Result, options *DecodeOptions) *Error {
	switch {
	case value.Type == gjson.String && value.Str != "":
		r.ItemCount = 1
		r.PromptTokens = options.tokens(len(value.Str))
		r.LongestItemTokens = r.PromptTokens
		return nil
	case value.IsArray():
		return r.decodeInputList(name, value, options)
	}
	return invalidInputsError(name)
}

// decodeInputList decodes a list of inputs. All its elements must be of the same kind.
func (r *Request) decodeInputList(name string, list gjson.Result, options *DecodeOptions) (err *Error) {
	count := 0
	listKind := inputInvalid
	list.ForEach(func(_, input gjson.Result) bool {
		kind, tokens := measureInput(input, options)
		earlierTokens := r.PromptTokens
		r.PromptTokens += tokens
		r.LongestItemTokens = max(r.LongestItemTokens, r.PromptTokens-earlierTokens)
		count++
		if count == 1 {
			listKind = kind
		}
		if kind == inputInvalid || kind != listKind {
			err = invalidInputsError(name)
		} else if count > options.MaxInputs && listKind != inputToken {
			err = InvalidRequest(name, "%s has more than %d items", name, options.MaxInputs)
		}
		return err == nil
	})
	if count == 0 {
		return invalidInputsError(name)
	}
	r.ItemCount = count
	if listKind == inputToken {
		r.ItemCount = 1
		r.LongestItemTokens = r.PromptTokens
	}
	return err
}

// measureInput returns the kind of an element of a list of inputs and its number of tokens.
func measureInput(input gjson.Result, options *DecodeOptions) (kind inputKind, tokens float64) {
	switch {
	case input.Type == gjson.String && input.Str != "":
		return inputText, options.tokens(len(input.Str))
	case isToken(input):
		return inputToken, 1
	case input.IsArray():
		count := countTokens(input)
		if count > 0 {
			return inputTokenList, float64(count)
		}
	}
	return inputInvalid, 0
}

// countTokens returns the length of a list of tokens. It returns 0 if an element is not a token.
func countTokens(list gjson.Result) int {
	count := 0
	list.ForEach(func(_, element gjson.Result) bool {
		if !isToken(element) {
			count = 0
			return false
		}
		count++
		return true
	})
	return count
}

// isToken reports whether value is a token, which is an unsigned 32-bit integer.
func isToken(value gjson.Result) bool {
	if value.Type != gjson.Number {
		return false
	}
	_, err := strconv.ParseUint(value.Raw, 10, 32)
	return err == nil
}
