package openai

import (
	"fmt"
	"testing"
)

func TestSplitResponseOrdersByIndexAndDividesAllTokens(t *testing.T) {
	request := decode(t, Embeddings, `{"model":"m","input":["a","b","c"]}`)
	const body = `{"data":[{"index":2,"embedding":[3]},{"index":0,"embedding":[1]},{"index":1,"embedding":"AA=="}],"usage":{"prompt_tokens":10}}`
	for _, c := range []struct {
		tokens []float64
		want   string
	}{
		{[]float64{1, 1, 1}, `[1] 3, "AA==" 4, [3] 3`},
		{[]float64{0, 0, 5}, `[1] 0, "AA==" 0, [3] 10`},
		{[]float64{0, 0, 0}, `[1] 10, "AA==" 0, [3] 0`},
	} {
		results := request.SplitResponse([]byte(body), c.tokens)
		got := fmt.Sprintf("%s %d, %s %d, %s %d", results[0].Embedding, results[0].PromptTokens,
			results[1].Embedding, results[1].PromptTokens, results[2].Embedding, results[2].PromptTokens)
		if got != c.want {
			t.Errorf("input tokens %v: %s, want %s", c.tokens, got, c.want)
		}
	}
}

func TestAssembleResponseKeepsOtherMembersOfTemplate(t *testing.T) {
	template := ResponseTemplate([]byte(`{"object":"list","data":[{"index":0,"embedding":[9]}],"model":"m","usage":{"prompt_tokens":9}}`))
	const empty = `{"object":"list","data":[],"model":"m","usage":{"prompt_tokens":0,"total_tokens":0}}`
	if string(template) != empty {
		t.Errorf("template %s, want %s", template, empty)
	}
	got := string(AssembleResponse(template, []Embedding{Embedding(`[1]`), Embedding(`"AA=="`)}, 5))
	const want = `{"object":"list","data":[{"object":"embedding","index":0,"embedding":[1]},{"object":"embedding","index":1,"embedding":"AA=="}],` +
		`"model":"m","usage":{"prompt_tokens":5,"total_tokens":5}}`
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
