package openai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// options has low limits, so that short requests reach them.
var options = DecodeOptions{BytesPerToken: 4, PrefixMessages: 1, PrefixBytes: 8, DefaultMaxTokens: 100, MaxInputs: 3, MaxDocuments: 2}

func TestDecodeRejectsInvalidRequestsAndNamesMember(t *testing.T) {
	for _, c := range []struct {
		api     API
		body    string
		param   string
		message string // a substring
	}{
		{Chat, `{`, "", "not valid JSON"},
		{Chat, strings.Repeat("[", 5_000_000), "", "not valid JSON"},
		{Chat, `[]`, "", "not a JSON object"},
		{Chat, `{"messages":[]}`, "model", "must provide a model"},
		{Chat, `{"model":7}`, "model", "must be a string"},
		{Chat, `{"model":"m","model":"n","messages":[]}`, "model", "twice"},
		{Chat, `{"model":"m","mod\u0065l":"n"}`, "model", "twice"},
		{Chat, `{"model":"m"}`, "messages", "must be a list"},
		{Chat, `{"model":"m","messages":[]}`, "messages", "empty"},
		{Chat, `{"model":"m","messages":[{"role":"user"},{"content":"x"}]}`, "messages.[1].role", "object with a role"},
		{Chat, `{"model":"m","messages":[{"role":"user"}],"stream":"yes"}`, "stream", "true or false"},
		{Chat, `{"model":"m","messages":[{"role":"user"}],"max_tokens":0}`, "max_tokens", "at least 1"},
		{Chat, `{"model":"m","messages":[{"role":"user"}],"max_completion_tokens":1.5}`, "max_completion_tokens", "whole number"},
		{Chat, `{"model":"m","messages":[{"role":"user"}],"stream_options":{}}`, "stream_options", "only allowed"},
		{Completions, `{"model":"m","prompt":[]}`, "prompt", "string"},
		{Embeddings, `{"model":"m"}`, "input", "string"},
		{Embeddings, `{"model":"m","input":""}`, "input", "none empty"},
		{Embeddings, `{"model":"m","input":["a",""]}`, "input", "none empty"},
		{Embeddings, `{"model":"m","input":["a",1]}`, "input", "list of"},
		{Embeddings, `{"model":"m","input":[[1],[]]}`, "input", "list of"},
		{Embeddings, `{"model":"m","input":[-1]}`, "input", "list of"},
		{Embeddings, `{"model":"m","input":["a","b","c","d"]}`, "input", "more than 3"},
		{Embeddings, `{"model":"m","input":"a","encoding_format":"hex"}`, "encoding_format", "float or base64"},
		{Embeddings, `{"model":"m","input":"a","dimensions":0}`, "dimensions", "at least 1"},
		{Rerank, `{"model":"m","documents":["a"]}`, "query", "not empty"},
		{Rerank, `{"model":"m","query":"q","documents":[]}`, "documents", "empty"},
		{Rerank, `{"model":"m","query":"q","documents":["a",{"txt":"b"}]}`, "documents", "documents[1]"},
		{Rerank, `{"model":"m","query":"q","documents":["a","b","c"]}`, "documents", "more than 2"},
		{Rerank, `{"model":"m","query":"q","documents":["a"],"top_n":-1}`, "top_n", "at least 1"},
	} {
		request, err := Decode(c.api, []byte(c.body), options)
		if err == nil {
			t.Errorf("%v %.80s: accepted as %+v", c.api, c.body, request)
			continue
		}
		if err.Status != http.StatusBadRequest || err.Param != c.param || !strings.Contains(err.Message, c.message) {
			t.Errorf("%v %.80s: %d %q %q; want %q %q", c.api, c.body, err.Status, err.Param, err.Message, c.param, c.message)
		}
		checkEncodedMessage(t, err)
	}
}

// checkEncodedMessage fails the test if the JSON of an error lacks its message or has a code.
func checkEncodedMessage(t *testing.T, err *Error) {
	t.Helper()
	var response struct {
		Error struct{ Message, Type, Param, Code *string }
	}
	encoded := err.AppendJSON(nil)
	jsonErr := json.Unmarshal(encoded, &response)
	if jsonErr != nil || response.Error.Message == nil || *response.Error.Message != err.Message || response.Error.Code != nil {
		t.Errorf("error encoded as %s, decoded with error %v; want message %q and no code", encoded, jsonErr, err.Message)
	}
}

func TestPrefixHashIsEqualIfFirstMessagesAreEqual(t *testing.T) {
	prefixHash := func(system, user string) uint64 {
		t.Helper()
		const format = `{"model":"m","messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`
		request, err := Decode(Chat, fmt.Appendf(nil, format, system, user), options)
		if err != nil {
			t.Fatal(err)
		}
		return request.PrefixHash
	}
	if prefixHash("a", "b") != prefixHash("a", "c") {
		t.Error("requests with the same system message have different prefix hashes")
	}
	if prefixHash("a", "b") == prefixHash("b", "b") {
		t.Error("requests with different system messages have the same prefix hash")
	}
}

// FuzzDecode checks that the bodies for engines are valid JSON, and that the body for a colocated
// engine differs from the client's only in kv_transfer_params.
func FuzzDecode(f *testing.F) {
	f.Add(byte(0), []byte(`{"model":"m","messages":[{"role":"user","content":"\u00e9"}],"x":{"y":[1]}}`))
	f.Add(byte(2), []byte(`{"model":"m","input":[[1,2],[3]]}`))
	f.Add(byte(3), []byte(` {"model":"m" , "query":"q","documents":[{"text":"a"}]} `))
	f.Fuzz(func(t *testing.T, api byte, body []byte) {
		request, err := Decode(API(api%4), body, options)
		if err != nil {
			return
		}
		var original object
		if json.Unmarshal(body, &original) != nil {
			return // encoding/json is stricter, for example with invalid UTF-8
		}
		delete(original, "kv_transfer_params")
		var forwarded object
		if err := json.Unmarshal(request.AppendColocatedBody(nil), &forwarded); err != nil || !reflect.DeepEqual(original, forwarded) {
			t.Fatalf("forwarded %v (error %v), want %v", forwarded, err, original)
		}
		for _, engineBody := range [][]byte{request.AppendPrefillBody(nil), request.AppendDecodeBody(nil, []byte("{}"))} {
			if !json.Valid(engineBody) {
				t.Fatalf("body for an engine is not valid JSON: %s", engineBody)
			}
		}
	})
}
