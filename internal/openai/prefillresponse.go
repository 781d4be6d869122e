package openai

import "github.com/tidwall/gjson"

// PrefillResponse is what the router needs of a prefill engine's response.
type PrefillResponse struct {
	KVTransfer   []byte // raw JSON: what a decode engine needs to fetch the KV state
	CachedTokens int    // tokens of the prompt that were in the engine's KV cache
}

// ParsePrefillResponse parses the response of a prefill engine. The second result is false if the
// response names no KV state to fetch.
func ParsePrefillResponse(body []byte) (PrefillResponse, bool) {
	if !IsValidJSON(body) {
		return PrefillResponse{}, false
	}
	transfer := gjson.GetBytes(body, kvMember)
	if !transfer.IsObject() || !transfer.Get("remote_engine_id").Exists() {
		return PrefillResponse{}, false
	}
	cachedTokens := gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()
	return PrefillResponse{KVTransfer: []byte(transfer.Raw), CachedTokens: int(cachedTokens)}, true
}

// ParsePromptTokens returns the length of the prompt in tokens according to a response's usage. It
// returns 0 if the response has none.
func ParsePromptTokens(body []byte) float64 { return gjson.GetBytes(body, "usage.prompt_tokens").Num }
