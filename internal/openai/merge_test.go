package openai

import (
	"testing"

	"martenlock/control/scatter"
)

func TestMergeResponsesOrdersResultsOfWholeRequest(t *testing.T) {
	shards := []scatter.Shard{{From: 0, To: 2}, {From: 2, To: 4}}
	for _, c := range []struct {
		name    string
		request *Request
		bodies  [2]string
		want    string
	}{
		{
			"embeddings by index, usage summed, other members of the first shard",
			&Request{API: Embeddings, ItemCount: 4},
			[2]string{
				`{"model":"m","data":[{"index":1,"embedding":[2]},{"index":0,"embedding":[1]}],"usage":{"prompt_tokens":3,"x":"y"}}`,
				`{"model":"other","data":[{"index":0,"embedding":[3]},{"index":1,"embedding":[4]}],"usage":{"prompt_tokens":4}}`,
			},
			`{"model":"m","data":[{"index":0,"embedding":[1]},{"index":1,"embedding":[2]},{"index":2,"embedding":[3]},{"index":3,"embedding":[4]}],` +
				`"usage":{"prompt_tokens":7,"x":"y"}}`,
		},
		{
			"rerank by score, of equal scores the earlier document, cut to top_n",
			&Request{API: Rerank, ItemCount: 4, TopN: 3},
			[2]string{
				`{"results":[{"index":1,"relevance_score":0.5},{"index":0,"relevance_score":0.1}]}`,
				`{"results":[{"index":0,"relevance_score":0.5},{"index":1,"relevance_score":0.9}]}`,
			},
			`{"results":[{"index":3,"relevance_score":0.9},{"index":1,"relevance_score":0.5},{"index":2,"relevance_score":0.5}]}`,
		},
	} {
		got := string(c.request.MergeResponses(shards, [][]byte{[]byte(c.bodies[0]), []byte(c.bodies[1])}))
		if got != c.want {
			t.Errorf("%s:\n%s, want\n%s", c.name, got, c.want)
		}
	}
}
