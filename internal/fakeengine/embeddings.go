package fakeengine

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// embeddings returns the body of the response to an embeddings request. A vector depends only on its input
// and the number of dimensions. Its Euclidean norm is at most 1, unless the engine's EmbeddingDefect changes it.
func (j *job) embeddings() []byte {
	inputs := embeddingInputs(j.body)
	defect := j.engine.fault.EmbeddingDefect
	if defect == EmbeddingMissing {
		inputs = inputs[1:]
	}
	dimensions := j.dimensions()
	isBase64 := gjson.GetBytes(j.body, "encoding_format").Str == "base64"
	out := []byte(`{"object":"list","data":[`)
	for i, input := range inputs {
		if i > 0 {
			out = append(out, ',')
		}
		length := dimensions
		if defect == EmbeddingTooLong && i == len(inputs)-1 {
			length++
		}
		vector := embedding(input.Raw, dimensions, length)
		out = fmt.Appendf(out, `{"object":"embedding","index":%d,"embedding":`, i)
		if isBase64 {
			out = appendBase64(out, vector, defect)
		} else {
			out = appendFloats(out, vector, defect)
		}
		out = append(out, '}')
	}
	prompt := int(j.request.PromptTokens)
	return fmt.Appendf(out, `],"model":%q,"usage":{"prompt_tokens":%d,"total_tokens":%d}}`, j.request.Model, prompt, prompt)
}

// embeddingInputs returns the inputs of a request. A list of token ids is one input.
func embeddingInputs(body []byte) []gjson.Result {
	input := gjson.GetBytes(body, "input")
	if !input.IsArray() {
		return []gjson.Result{input}
	}
	isListOfTokens := input.Get("0").Type == gjson.Number
	if isListOfTokens {
		return []gjson.Result{input}
	}
	return input.Array()
}

// dimensions returns the request's number of dimensions, or the engine's default if the request sets none.
func (j *job) dimensions() int {
	requested := int(gjson.GetBytes(j.body, "dimensions").Int())
	if requested > 0 {
		return requested
	}
	return max(j.engine.Spec.Dimensions, 1)
}

// embedding returns a pseudorandom vector for an input. It has length elements, whose absolute values are at
// most 1/sqrt(dimensions).
func embedding(input string, dimensions, length int) []float32 {
	const (
		// Parameters of the linear congruential generator in Knuth's MMIX.
		multiplier = 6364136223846793005
		increment  = 1442695040888963407
	)
	scale := float32(math.Sqrt(float64(dimensions)))
	vector := make([]float32, length)
	random := xxhash.Sum64String(input)
	for i := range vector {
		random = random*multiplier + increment
		vector[i] = float32(int32(random>>32)) / (1 << 31) / scale
	}
	return vector
}

// appendFloats appends a vector as a JSON array.
func appendFloats(out []byte, vector []float32, defect EmbeddingDefect) []byte {
	separator := byte('[')
	for _, value := range vector {
		out = append(out, separator)
		out = strconv.AppendFloat(out, float64(value), 'g', -1, 32)
		if defect == EmbeddingInfinite {
			out = append(out, "e999"...)
		}
		separator = ','
	}
	return append(out, ']')
}

// appendBase64 appends a vector as a JSON string, the base64 encoding of its little-endian float32 elements.
func appendBase64(out []byte, vector []float32, defect EmbeddingDefect) []byte {
	if defect == EmbeddingInvalidBase64 {
		return append(out, `"a*b"`...)
	}
	raw := make([]byte, 0, 4*len(vector))
	for _, value := range vector {
		raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(value))
	}
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, raw)
	return append(out, '"')
}
