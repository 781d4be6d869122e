package openai

import "github.com/tidwall/gjson"

// requestFields holds the members of a request that the router reads. If the request lacks a
// member, its field is the zero Result, whose Exists method returns false.
type requestFields struct {
	model               gjson.Result
	user                gjson.Result
	promptCacheKey      gjson.Result
	stream              gjson.Result
	streamOptions       gjson.Result
	maxTokens           gjson.Result // the older name of max_completion_tokens
	maxCompletionTokens gjson.Result
	choiceCount         gjson.Result // n
	messages            gjson.Result
	prompt              gjson.Result
	input               gjson.Result
	encodingFormat      gjson.Result
	dimensions          gjson.Result
	query               gjson.Result
	documents           gjson.Result
	topN                gjson.Result
	returnDocuments     gjson.Result
}

// byName returns the field for a member's name, or nil if the router does not read the member.
func (f *requestFields) byName(name string) *gjson.Result {
	switch name {
	case "model":
		return &f.model
	case "user":
		return &f.user
	case "prompt_cache_key":
		return &f.promptCacheKey
	case "stream":
		return &f.stream
	case "stream_options":
		return &f.streamOptions
	case "max_tokens":
		return &f.maxTokens
	case "max_completion_tokens":
		return &f.maxCompletionTokens
	case "n":
		return &f.choiceCount
	case "messages":
		return &f.messages
	case "prompt":
		return &f.prompt
	case "input":
		return &f.input
	case "encoding_format":
		return &f.encodingFormat
	case "dimensions":
		return &f.dimensions
	case "query":
		return &f.query
	case "documents":
		return &f.documents
	case "top_n":
		return &f.topN
	case "return_documents":
		return &f.returnDocuments
	}
	return nil
}
