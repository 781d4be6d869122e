package openai

import (
	"io"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// userMember is the member that names the end user. It does not influence the response.
const userMember = "user"

// itemsIndex returns the index in r.members of the member that holds the request's items.
func (r *Request) itemsIndex() int { return r.indexOf(r.API.contentMember()) }

// Items returns the inputs of an embeddings request or the documents of a rerank request as raw
// JSON, and the estimated number of tokens of each. A document's tokens include those of the query.
// For other requests it returns nil.
func (r *Request) Items(options DecodeOptions) (raw [][]byte, tokens []float64) {
	if !r.NeedsResponseCheck() {
		return nil, nil
	}
	list := r.members[r.itemsIndex()].value
	if r.API == Embeddings && r.ItemCount == 1 {
		return [][]byte{singleInput(list)}, []float64{r.PromptTokens}
	}
	queryTokens := r.queryTokens(&options)
	gjson.ParseBytes(list).ForEach(func(_, item gjson.Result) bool {
		raw = append(raw, list[item.Index:item.Index+len(item.Raw)])
		tokens = append(tokens, itemTokens(item, &options)+queryTokens)
		return true
	})
	return raw, tokens
}

// singleInput returns the input of an embeddings request that has only one input, as raw JSON. A list
// of tokens is one input as a whole; any other list is reduced to its only element.
func singleInput(value []byte) []byte {
	list := gjson.ParseBytes(value)
	if !list.IsArray() {
		return value
	}
	first := list.Get("0")
	if first.Type == gjson.Number {
		return value
	}
	return value[first.Index : first.Index+len(first.Raw)]
}

// queryTokens returns the estimated number of tokens of the member "query", which rerank requests have,
// or 0 if the request lacks it.
func (r *Request) queryTokens(options *DecodeOptions) float64 {
	i := r.indexOf("query")
	if i < 0 {
		return 0
	}
	return options.tokens(len(r.members[i].value))
}

// itemTokens returns the number of tokens of one item. It is exact for a list of tokens and estimated
// for a text.
func itemTokens(item gjson.Result, options *DecodeOptions) float64 {
	if !item.IsArray() {
		return options.tokens(len(item.Raw))
	}
	count := 0.0
	item.ForEach(func(_, _ gjson.Result) bool {
		count++
		return true
	})
	return count
}

// Shard returns a copy of the request with the given items in place of its own. tokens is the number
// of tokens of all these items. r is not modified.
func (r *Request) Shard(items [][]byte, tokens float64) *Request {
	shard := *r
	shard.members = slices.Clone(r.members)
	shard.ItemCount = len(items)
	shard.PromptTokens = tokens
	m := &shard.members[r.itemsIndex()]
	m.value = appendArray(nil, len(items), func(out []byte, i int) []byte { return append(out, items[i]...) })
	m.raw = append([]byte(strconv.Quote(m.name)+":"), m.value...)
	return &shard
}

// Batch returns one request for the items of several requests that have the same batch key. r is one
// of these requests. The result has no user, since the requests may come from different users.
func (r *Request) Batch(items [][]byte, tokens float64) *Request {
	batch := r.Shard(items, tokens)
	batch.members = slices.DeleteFunc(batch.members, func(m member) bool { return m.name == userMember })
	batch.User = ""
	batch.PromptCacheKey = ""
	return batch
}

// WriteBatchKey writes to hash the members of an embeddings request that affect the response, except
// the inputs. The inputs of requests with the same key may be sent to an engine in one batch.
func (r *Request) WriteBatchKey(hash io.Writer) {
	r.writeMembers(hash, userMember, r.API.contentMember())
}

// WriteCacheKey writes to hash the members that affect the response, which are all except user.
func (r *Request) WriteCacheKey(hash io.Writer) {
	r.writeMembers(hash, userMember)
}

// writeMembers writes all members except the excluded ones to hash.
func (r *Request) writeMembers(hash io.Writer, excluded ...string) {
	for _, m := range r.members {
		if slices.Contains(excluded, m.name) {
			continue
		}
		_, _ = hash.Write(m.raw) // a hash.Hash never returns an error
		_, _ = hash.Write([]byte{0})
	}
}
