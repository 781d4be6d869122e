package openai

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// object is a decoded JSON object.
type object map[string]any

// parseObject decodes a JSON object. It fails the test if text is not valid.
func parseObject(t *testing.T, text []byte) object {
	t.Helper()
	var decoded object
	err := json.Unmarshal(text, &decoded)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return decoded
}

func TestEngineBodiesKeepMembersThatTheRouterDoesNotSet(t *testing.T) {
	body := `{ "model" : "m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}],"stream":true,
		"stream_options":{"include_usage":true},"max_tokens":7,"n":2,"unknown":{"a":[1.50, null]},"kv_transfer_params":{"evil":1},"user":"me","prompt_cache_key":"k"}`
	request, err := Decode(Chat, []byte(body), options)
	if err != nil {
		t.Fatal(err)
	}
	if request.Model != "m" || !request.Stream || request.MaxTokens != 14 || request.User != "me" || request.PromptCacheKey != "k" ||
		request.PrefixHash == 0 || request.PrefixTokens >= request.PromptTokens {
		t.Errorf("decoded %+v", request)
	}
	original := parseObject(t, []byte(body))
	prefill := parseObject(t, request.AppendPrefillBody(nil))
	decode := parseObject(t, request.AppendDecodeBody(nil, []byte(`{"x":1}`)))
	colocated := parseObject(t, request.AppendColocatedBody(nil))
	transfer, isObject := prefill["kv_transfer_params"].(map[string]any)
	if prefill["stream"] != false || prefill["max_tokens"] != 1.0 || prefill["stream_options"] != nil || prefill["n"] != nil ||
		!isObject || transfer["do_remote_decode"] != true {
		t.Errorf("body for a prefill engine: %v", prefill)
	}
	if fmt.Sprint(decode["kv_transfer_params"]) != "map[x:1]" || colocated["kv_transfer_params"] != nil {
		t.Errorf("body for a decode engine: %v; for a colocated engine: %v", decode, colocated)
	}
	for _, forwarded := range []object{decode, colocated} {
		forwarded["kv_transfer_params"] = original["kv_transfer_params"]
		if !reflect.DeepEqual(forwarded, original) {
			t.Errorf("forwarded %v, want %v", forwarded, original)
		}
	}
	if !strings.Contains(string(request.AppendColocatedBody(nil)), `"unknown":{"a":[1.50, null]}`) {
		t.Error("an unknown member was rewritten")
	}
}
