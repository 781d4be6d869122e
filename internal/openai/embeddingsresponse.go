package openai

import (
	"bytes"
	"strconv"

	"github.com/tidwall/gjson"
)

// Embedding is the embedding of one input, as raw JSON.
type Embedding []byte

// EmbeddingResult is the part of a response that belongs to one input.
type EmbeddingResult struct {
	Embedding    Embedding // refers to the response's body
	PromptTokens int64     // the input's share of the response's usage
}

// SplitResponse splits an embeddings response that CheckResponse has accepted. It returns one result
// for each input, in the order of the request. The prompt tokens of the response's usage are divided
// in proportion to inputTokens, the estimated number of tokens of each input. The shares are whole
// numbers and add up to the total.
func (r *Request) SplitResponse(body []byte, inputTokens []float64) []EmbeddingResult {
	results := make([]EmbeddingResult, r.ItemCount)
	gjson.GetBytes(body, r.API.resultMember()).ForEach(func(_, result gjson.Result) bool {
		i := int(result.Get("index").Int())
		if i >= 0 && i < len(results) {
			results[i].Embedding = Embedding(result.Get("embedding").Raw)
		}
		return true
	})
	promptTokens := gjson.GetBytes(body, "usage.prompt_tokens").Int()
	for i, share := range splitByWeight(promptTokens, inputTokens) {
		results[i].PromptTokens = share
	}
	return results
}

// splitByWeight splits total in proportion to weights. It rounds the running sums, so that the shares
// add up to total and each differs by at most 1 from the exact share. If all weights are 0, the first
// share is the whole total.
func splitByWeight(total int64, weights []float64) []int64 {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	shares := make([]int64, len(weights))
	assigned := int64(0)
	runningSum := 0.0
	for i, weight := range weights {
		runningSum += weight
		cumulative := total
		isLast := i == len(weights)-1
		if !isLast && sum > 0 {
			rounded := int64(float64(total)*runningSum/sum + 0.5)
			cumulative = min(rounded, total)
		}
		shares[i] = cumulative - assigned
		assigned = cumulative
	}
	return shares
}

// Estimated sizes in bytes of parts of a response. They are high enough that AssembleResponse
// usually allocates once.
const (
	responseOverhead  = 200 // all but the results
	embeddingOverhead = 60  // of each result, without the embedding itself
)

// AssembleResponse returns an embeddings response with the given embeddings and number of prompt
// tokens. Its other members are copied from template, a response to a request with the same batch
// key.
func AssembleResponse(template []byte, embeddings []Embedding, promptTokens int64) []byte {
	size := responseOverhead
	for _, embedding := range embeddings {
		size += len(embedding) + embeddingOverhead
	}
	out := make([]byte, 0, size)
	return appendObject(out, gjson.ParseBytes(template), func(out []byte, key string, value gjson.Result) []byte {
		switch key {
		case "data":
			return appendArray(out, len(embeddings), func(out []byte, i int) []byte { return embeddings[i].appendTo(out, i) })
		case "usage":
			return appendEmbeddingsUsage(out, promptTokens)
		}
		return append(out, value.Raw...)
	})
}

// appendTo appends a result with the embedding of the input at index.
func (e Embedding) appendTo(out []byte, index int) []byte {
	out = append(out, `{"object":"embedding","index":`...)
	out = strconv.AppendInt(out, int64(index), 10)
	out = append(out, `,"embedding":`...)
	out = append(out, e...)
	return append(out, '}')
}

// appendEmbeddingsUsage appends the usage of an embeddings response, which has prompt tokens only.
func appendEmbeddingsUsage(out []byte, promptTokens int64) []byte {
	out = append(out, `{"prompt_tokens":`...)
	out = strconv.AppendInt(out, promptTokens, 10)
	out = append(out, `,"total_tokens":`...)
	out = strconv.AppendInt(out, promptTokens, 10)
	return append(out, '}')
}

// ResponseTemplate returns a copy of an embeddings response without its embeddings, for use as the
// template of AssembleResponse.
func ResponseTemplate(body []byte) []byte { return bytes.Clone(AssembleResponse(body, nil, 0)) }
