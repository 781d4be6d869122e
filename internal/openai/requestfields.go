package openai

import "github.com/tidwall/gjson"

// requestFields are the members of a request that the router looks at. A field whose member the
// request lacks is the zero Result, which does not exist.
type requestFields struct {
	model           gjson.Result
	user            gjson.Result
	cacheKey        gjson.Result
	stream          gjson.Result
	streamOptions   gjson.Result
	maxTokens       gjson.Result // the older name of maxCompletion
	maxCompletion   gjson.Result
	choices         gjson.Result
	messages        gjson.Result
	prompt          gjson.Result
	input           gjson.Result
	encoding        gjson.Result
	dimensions      gjson.Result
	query           gjson.Result
	documents       gjson.Result
	topN            gjson.Result
	returnDocuments gjson.Result
}

// pointer returns the field of a member. It returns nil if the router does not look at the
// member.
func (f *requestFields) pointer(name string) *gjson.Result {
	switch name {
	case "model":
		return &f.model
	case "user":
		return &f.user
	case "prompt_cache_key":
		return &f.cacheKey
	case "stream":
		return &f.stream
	case "stream_options":
		return &f.streamOptions
	case "max_tokens":
		return &f.maxTokens
	case "max_completion_tokens":
		return &f.maxCompletion
	case "n":
		return &f.choices
	case "messages":
		return &f.messages
	case "prompt":
		return &f.prompt
	case "input":
		return &f.input
	case "encoding_format":
		return &f.encoding
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
