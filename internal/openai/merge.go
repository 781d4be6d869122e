package openai

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"martenlock/control/scatter"
)

// MergeResponses merges the responses to the request's shards, which CheckResponse must have
// accepted. Result indexes become those of the whole request, and usage is summed. Rerank results
// are sorted by descending score and cut to top_n; documents with equal scores stay in the order of
// the request. Other members are copied from the first shard's response.
func (r *Request) MergeResponses(shards []scatter.Shard, bodies [][]byte) []byte {
	name := r.API.resultMember()
	usage := usageTotals{}
	for _, body := range bodies {
		usage.add(gjson.GetBytes(body, "usage"))
	}
	results := r.mergeResults(shards, bodies)
	first := gjson.ParseBytes(bodies[0])
	return appendObject(nil, first, func(out []byte, key string, value gjson.Result) []byte {
		switch {
		case key == name:
			return appendArray(out, len(results), func(out []byte, i int) []byte { return results[i].appendTo(out) })
		case key == "usage" && value.IsObject():
			return usage.appendTo(out, value)
		}
		return append(out, value.Raw...)
	})
}

// mergeResults returns the results of all shards in the order of the merged response.
func (r *Request) mergeResults(shards []scatter.Shard, bodies [][]byte) []mergedResult {
	var results []mergedResult
	for i, body := range bodies {
		gjson.GetBytes(body, r.API.resultMember()).ForEach(func(_, value gjson.Result) bool {
			results = append(results, mergedResult{
				index: shards[i].From + int(value.Get("index").Int()),
				score: value.Get("relevance_score").Num,
				value: value,
			})
			return true
		})
	}
	slices.SortFunc(results, func(a, b mergedResult) int {
		if r.API == Rerank && a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.index, b.index)
	})
	if r.TopN > 0 {
		results = results[:min(r.TopN, len(results))]
	}
	return results
}

type mergedResult struct {
	index int // of the item in the whole request
	score float64
	value gjson.Result // the result in the shard's response
}

// appendTo appends the result with its index in the whole request.
func (m *mergedResult) appendTo(out []byte) []byte {
	return appendObject(out, m.value, func(out []byte, key string, value gjson.Result) []byte {
		if key == "index" {
			return strconv.AppendInt(out, int64(m.index), 10)
		}
		return append(out, value.Raw...)
	})
}

// usageTotals maps the name of each number in usage to its sum over several responses.
type usageTotals map[string]int64

func (u usageTotals) add(usage gjson.Result) {
	usage.ForEach(func(key, value gjson.Result) bool {
		if value.Type == gjson.Number {
			u[key.Str] += value.Int()
		}
		return true
	})
}

// appendTo appends a copy of usage with each number replaced by its total.
func (u usageTotals) appendTo(out []byte, usage gjson.Result) []byte {
	return appendObject(out, usage, func(out []byte, key string, value gjson.Result) []byte {
		if value.Type == gjson.Number {
			return strconv.AppendInt(out, u[key], 10)
		}
		return append(out, value.Raw...)
	})
}
