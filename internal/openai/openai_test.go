package openai

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var rules = Rules{BytesPerToken: 4, Opening: 1, OpeningBytes: 8, MaxTokens: 100, Inputs: 3, Documents: 2}

func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct {
		api              API
		body, param, say string
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
		call, err := Decode(c.api, []byte(c.body), rules)
		if err == nil {
			t.Errorf("%v %.80s taken as %+v", c.api, c.body, call)
			continue
		}
		if err.Status != 400 || err.Param != c.param || !strings.Contains(err.Message, c.say) {
			t.Errorf("%v %.80s: %d %q %q; want %q %q", c.api, c.body, err.Status, err.Param, err.Message, c.param, c.say)
		}
		var shape struct {
			Error struct{ Message, Type, Param, Code *string }
		}
		if e := json.Unmarshal(err.Append(nil), &shape); e != nil || shape.Error.Message == nil || *shape.Error.Message != err.Message || shape.Error.Code != nil {
			t.Errorf("%s: %v", err.Append(nil), e)
		}
	}
}

func TestDecodeAndBodies(t *testing.T) {
	body := `{ "model" : "m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}],"stream":true,
		"stream_options":{"include_usage":true},"max_tokens":7,"n":2,"unknown":{"a":[1.50, null]},"kv_transfer_params":{"evil":1},"user":"me","prompt_cache_key":"k"}`
	c, err := Decode(Chat, []byte(body), rules)
	if err != nil {
		t.Fatal(err)
	}
	if c.Model != "m" || !c.Stream || c.MaxTokens != 14 || c.User != "me" || c.CacheKey != "k" || c.Opening == 0 || c.OpeningLen >= c.Prompt {
		t.Errorf("%+v", c)
	}
	parse := func(b []byte) (m map[string]any) {
		if err := json.Unmarshal(b, &m); err != nil {
			t.Fatalf("%s: %v", b, err)
		}
		return m
	}
	was, read, write, whole := parse([]byte(body)), parse(c.AppendRead(nil)), parse(c.AppendWrite(nil, []byte(`{"x":1}`))), parse(c.AppendWhole(nil))
	if read["stream"] != false || read["max_tokens"] != 1.0 || read["stream_options"] != nil || read["n"] != nil || read["kv_transfer_params"].(map[string]any)["do_remote_decode"] != true {
		t.Errorf("to the reader: %v", read)
	}
	if fmt.Sprint(write["kv_transfer_params"]) != "map[x:1]" || whole["kv_transfer_params"] != nil {
		t.Errorf("to the writer: %v; whole: %v", write, whole)
	}
	for _, m := range []map[string]any{write, whole} {
		m["kv_transfer_params"] = was["kv_transfer_params"]
		if !reflect.DeepEqual(m, was) {
			t.Errorf("changed: %v, was %v", m, was)
		}
	}
	if !strings.Contains(string(c.AppendWhole(nil)), `"unknown":{"a":[1.50, null]}`) {
		t.Error("an unknown member was rewritten")
	}
	// One conversation's turns share their opening, two conversations of one system text do, others don't.
	opening := func(system, user string) uint64 {
		c, err := Decode(Chat, fmt.Appendf(nil, `{"model":"m","messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, system, user), rules)
		if err != nil {
			t.Fatal(err)
		}
		return c.Opening
	}
	if opening("a", "b") != opening("a", "c") || opening("a", "b") == opening("b", "b") {
		t.Error("openings")
	}
}

func TestReadAnswer(t *testing.T) {
	kv, cached, ok := ReadAnswer([]byte(`{"usage":{"prompt_tokens_details":{"cached_tokens":5}},"kv_transfer_params":{"remote_engine_id":"e","x":[1]}}`))
	if !ok || cached != 5 || string(kv) != `{"remote_engine_id":"e","x":[1]}` {
		t.Errorf("%s %d %v", kv, cached, ok)
	}
	for _, s := range []string{`{}`, `{"kv_transfer_params":null}`, `{"kv_transfer_params":{}}`, `{"kv_transfer_params":{"remote_engine_id":"e"}`} {
		if _, _, ok := ReadAnswer([]byte(s)); ok {
			t.Errorf("%s taken for a state", s)
		}
	}
}

func TestOrca(t *testing.T) {
	names := []string{"kv_cache_usage_perc", "cpu_utilization"}
	for s, want := range map[string]string{
		"TEXT named_metrics.kv_cache_usage_perc=0.25, cpu_utilization=0.5":          "[0.25 0.5]",
		`JSON {"cpu_utilization":0.5,"named_metrics":{"kv_cache_usage_perc":0.25}}`: "[0.25 0.5]",
		"TEXT cpu_utilization=0.5":                                                    "[]",
		"TEXT kv_cache_usage_perc=x, cpu_utilization=0.5":                             "[]",
		`JSON {"cpu_utilization":"0.5","named_metrics":{"kv_cache_usage_perc":0.25}}`: "[]",
		`JSON {"cpu_utilization":`:                                                    "[]",
		"BIN CgEB":                                                                    "[]",
		"":                                                                            "[]",
	} {
		if got := fmt.Sprint(Orca([]byte(s), names)); got != want {
			t.Errorf("%q: %s, want %s", s, got, want)
		}
	}
}

// FuzzDecode: what is taken goes on as valid JSON that says the same, but for what the
// router adds.
func FuzzDecode(f *testing.F) {
	f.Add(byte(0), []byte(`{"model":"m","messages":[{"role":"user","content":"\u00e9"}],"x":{"y":[1]}}`))
	f.Add(byte(2), []byte(`{"model":"m","input":[[1,2],[3]]}`))
	f.Add(byte(3), []byte(` {"model":"m" , "query":"q","documents":[{"text":"a"}]} `))
	f.Fuzz(func(t *testing.T, api byte, body []byte) {
		c, err := Decode(API(api%4), body, rules)
		if err != nil {
			return
		}
		var was, now map[string]any
		if json.Unmarshal(body, &was) != nil {
			return // what the library takes and encoding/json does not: odd UTF-8, say
		}
		delete(was, "kv_transfer_params")
		if err := json.Unmarshal(c.AppendWhole(nil), &now); err != nil || !reflect.DeepEqual(was, now) {
			t.Fatalf("%v: %v became %v", err, was, now)
		}
		for _, b := range [][]byte{c.AppendRead(nil), c.AppendWrite(nil, []byte("{}"))} {
			if !json.Valid(b) {
				t.Fatalf("%s", b)
			}
		}
	})
}
