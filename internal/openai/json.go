package openai

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// maxDepth is the maximum nesting depth of a JSON text. The JSON library recurses on each level,
// so without a limit a client could overflow the stack.
const maxDepth = 200

// IsValidJSON reports whether text is one valid JSON value that is nested at most maxDepth levels
// deep.
func IsValidJSON(text []byte) bool {
	return isDepthBounded(text) && gjson.ValidBytes(text)
}

// isDepthBounded reports whether text is nested at most maxDepth levels deep. It counts brackets
// outside of strings. It does not check that they match, which gjson.ValidBytes does.
func isDepthBounded(text []byte) bool {
	depth := 0
	inString := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case inString:
			inString = c != '"'
			if c == '\\' {
				i++ // the escaped character, which may be a quotation mark
			}
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			depth++
			if depth > maxDepth {
				return false
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return true
}

// isSet reports whether a member is present and not null. OpenAI's API treats null like a
// missing member.
func isSet(value gjson.Result) bool { return value.Exists() && value.Type != gjson.Null }

// decodeString decodes an optional string. It returns "" if the member is not set.
func decodeString(name string, value gjson.Result) (string, *Error) {
	if isSet(value) && value.Type != gjson.String {
		return "", InvalidRequest(name, "%s must be a string", name)
	}
	return value.Str, nil
}

// decodeBool decodes an optional boolean. It returns false if the member is not set.
func decodeBool(name string, value gjson.Result) (bool, *Error) {
	if isSet(value) && !value.IsBool() {
		return false, InvalidRequest(name, "%s must be true or false", name)
	}
	return value.Type == gjson.True, nil
}

// decodeCount decodes an optional whole number of at least 1. It returns 0 if the member is not
// set.
func decodeCount(name string, value gjson.Result) (int, *Error) {
	if !isSet(value) {
		return 0, nil
	}
	count, err := strconv.ParseInt(value.Raw, 10, 32)
	if value.Type != gjson.Number || err != nil || count < 1 {
		return 0, InvalidRequest(name, "%s must be a whole number of at least 1", name)
	}
	return int(count), nil
}

// appendObject appends an object with the keys of the given one. appendValue appends the new value
// of a key, given the old value.
func appendObject(out []byte, object gjson.Result, appendValue func(out []byte, key string, value gjson.Result) []byte) []byte {
	out = append(out, '{')
	isFirst := true
	object.ForEach(func(key, value gjson.Result) bool {
		if !isFirst {
			out = append(out, ',')
		}
		isFirst = false
		out = append(out, key.Raw...)
		out = append(out, ':')
		out = appendValue(out, key.Str, value)
		return true
	})
	return append(out, '}')
}

// appendArray appends an array of the given length. appendElement appends element i.
func appendArray(out []byte, length int, appendElement func(out []byte, i int) []byte) []byte {
	out = append(out, '[')
	for i := range length {
		if i > 0 {
			out = append(out, ',')
		}
		out = appendElement(out, i)
	}
	return append(out, ']')
}
