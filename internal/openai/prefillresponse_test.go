package openai

import (
	"testing"
)

func TestParsePrefillResponseRequiresRemoteEngineID(t *testing.T) {
	const complete = `{"usage":{"prompt_tokens_details":{"cached_tokens":5}},"kv_transfer_params":{"remote_engine_id":"e","x":[1]}}`
	response, ok := ParsePrefillResponse([]byte(complete))
	if !ok || response.CachedTokens != 5 || string(response.KVTransfer) != `{"remote_engine_id":"e","x":[1]}` {
		t.Errorf("KV transfer %s, %d cached tokens, ok is %v", response.KVTransfer, response.CachedTokens, ok)
	}
	for _, body := range []string{`{}`, `{"kv_transfer_params":null}`, `{"kv_transfer_params":{}}`, `{"kv_transfer_params":{"remote_engine_id":"e"}`} {
		if _, ok := ParsePrefillResponse([]byte(body)); ok {
			t.Errorf("%s was accepted", body)
		}
	}
}
