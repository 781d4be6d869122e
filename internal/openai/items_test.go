package openai

import (
	"bytes"
	"fmt"
	"testing"
)

// decode decodes a request. It fails the test if the request is not valid.
func decode(t *testing.T, api API, body string) *Request {
	t.Helper()
	request, err := Decode(api, []byte(body), options)
	if err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return request
}

func TestItemsReturnsInputsAndTheirTokens(t *testing.T) {
	for _, c := range []struct {
		api  API
		body string
		want string
	}{
		{Embeddings, `{"model":"m","input":"ab"}`, `["ab"] [0.5]`},
		{Embeddings, `{"model":"m","input":["ab"]}`, `["ab"] [0.5]`},
		{Embeddings, `{"model":"m","input":["ab", "abcdef"]}`, `["ab" "abcdef"] [1 2]`},
		{Embeddings, `{"model":"m","input":[1,2,3]}`, `[[1,2,3]] [3]`},
		{Embeddings, `{"model":"m","input":[[1,2],[3]]}`, `[[1,2] [3]] [2 1]`},
		{Rerank, `{"model":"m","query":"qq","documents":["ab",{"text":"c"}]}`, `["ab" {"text":"c"}] [2 4]`},
		{Chat, `{"model":"m","messages":[{"role":"user"}]}`, `[] []`},
	} {
		raw, tokens := decode(t, c.api, c.body).Items(options)
		if got := fmt.Sprintf("%s %v", raw, tokens); got != c.want {
			t.Errorf("%s: %s, want %s", c.body, got, c.want)
		}
	}
}

func TestShardReplacesOnlyTheItems(t *testing.T) {
	request := decode(t, Embeddings, `{"model":"m","input":["a","b","c"],"user":"me","x":[1]}`)
	raw, _ := request.Items(options)
	shard := request.Shard(raw[1:], 2)
	if got, want := string(shard.AppendColocatedBody(nil)), `{"model":"m","input":["b","c"],"user":"me","x":[1]}`; got != want {
		t.Errorf("shard: %s, want %s", got, want)
	}
	if shard.ItemCount != 2 || shard.PromptTokens != 2 || request.ItemCount != 3 {
		t.Errorf("shard of %d items and %v tokens, of a request of %d", shard.ItemCount, shard.PromptTokens, request.ItemCount)
	}
	if got, want := string(request.AppendColocatedBody(nil)), `{"model":"m","input":["a","b","c"],"user":"me","x":[1]}`; got != want {
		t.Errorf("the original request changed to %s, want %s", got, want)
	}
}

func TestBatchHasNoUser(t *testing.T) {
	request := decode(t, Embeddings, `{"model":"m","input":"a","user":"me"}`)
	batch := request.Batch([][]byte{[]byte(`"a"`), []byte(`"b"`)}, 2)
	if got, want := string(batch.AppendColocatedBody(nil)), `{"model":"m","input":["a","b"]}`; got != want || batch.User != "" {
		t.Errorf("body %s and user %q, want %s and no user", got, batch.User, want)
	}
}

func TestKeysIgnoreUserAndBatchKeyIgnoresInputs(t *testing.T) {
	key := func(body string, write func(*Request, *bytes.Buffer)) string {
		t.Helper()
		var out bytes.Buffer
		write(decode(t, Embeddings, body), &out)
		return out.String()
	}
	batchKey := func(r *Request, out *bytes.Buffer) { r.WriteBatchKey(out) }
	cacheKey := func(r *Request, out *bytes.Buffer) { r.WriteCacheKey(out) }
	const base = `{"model":"m","input":"a","user":"me"}`
	const otherUser = `{"model":"m","input":"a","user":"you"}`
	const otherInput = `{"model":"m","input":"b","user":"me"}`
	const otherModel = `{"model":"n","input":"a","user":"me"}`
	for _, c := range []struct {
		name  string
		write func(*Request, *bytes.Buffer)
		other string
		equal bool
	}{
		{"batch key of another user", batchKey, otherUser, true},
		{"batch key of another input", batchKey, otherInput, true},
		{"batch key of another model", batchKey, otherModel, false},
		{"cache key of another user", cacheKey, otherUser, true},
		{"cache key of another input", cacheKey, otherInput, false},
		{"cache key of another model", cacheKey, otherModel, false},
	} {
		if equal := key(base, c.write) == key(c.other, c.write); equal != c.equal {
			t.Errorf("%s: keys are equal: %v, want %v", c.name, equal, c.equal)
		}
	}
}
