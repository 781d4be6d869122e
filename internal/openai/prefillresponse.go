package openai

import "github.com/tidwall/gjson"

// PrefillResponse holds the parts of a prefill engine's response that the router uses.
type PrefillResponse struct {
	KVTransfer   []byte // kv_transfer_params as raw JSON, with which a decode engine fetches the KV state
	CachedTokens int    // tokens of the prompt that were in the engine's KV cache
}

// ParsePrefillResponse parses the response of a prefill engine. The second result is false if the
// response is not valid JSON or does not name the engine that holds the KV state.
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

// ParsePromptTokens returns the number of prompt tokens in a response's usage, or 0 if it is missing.
func ParsePromptTokens(body []byte) float64 { return gjson.GetBytes(body, "usage.prompt_tokens").Num }
