package openai

import (
	"errors"
	"testing"
)

func TestCheckResponseNamesInvalidField(t *testing.T) {
	embeddings := &Request{API: Embeddings, ItemCount: 2}
	rerank := &Request{API: Rerank, ItemCount: 2}
	for _, c := range []struct {
		request *Request
		body    string
		field   string
		reason  error
		message string
	}{
		{embeddings, `{`, "", ErrInvalidJSON, "response is not valid JSON"},
		{embeddings, `{}`, "data", ErrNoResultList, "data: list of results is missing"},
		{embeddings, `{"data":[{"index":0,"embedding":[1]}]}`, "data", ErrResultCount, "data: wrong number of results: 1, want 2"},
		{embeddings, `{"data":[{"index":0,"embedding":[1]},{"index":0,"embedding":[1]}]}`, "data[1].index", ErrResultIndex, "data[1].index: index is missing, repeated or out of range, want one of 0 to 1"},
		{embeddings, `{"data":[{"index":0,"embedding":[1]},{"index":1,"embedding":[1,2]}]}`, "data[1].embedding", ErrDimensionCount, "data[1].embedding: wrong number of dimensions: 2, want 1"},
		{embeddings, `{"data":[{"index":0,"embedding":[]}]}`, "data[0].embedding", ErrEmptyEmbedding, "data[0].embedding: embedding has no elements"},
		{embeddings, `{"data":[{"index":0,"embedding":[1e999]}]}`, "data[0].embedding", ErrNotFinite, "data[0].embedding: embedding has an element that is not a finite number"},
		{embeddings, `{"data":[{"index":0,"embedding":"AACAfw=="}]}`, "data[0].embedding", ErrNotFinite, "data[0].embedding: embedding has an element that is not a finite number"},
		{embeddings, `{"data":[{"index":0,"embedding":"AAA="}]}`, "data[0].embedding", ErrInvalidBase64, "data[0].embedding: embedding is not base64 of 32-bit floats"},
		{embeddings, `{"data":[{"index":0}]}`, "data[0].embedding", ErrNoEmbedding, "data[0].embedding: embedding is neither a list nor a string"},
		{rerank, `{"results":[{"index":1}]}`, "results[0].relevance_score", ErrNoScore, "results[0].relevance_score: score is missing or not a finite number"},
		{rerank, `{"results":[{"index":2,"relevance_score":1}]}`, "results[0].index", ErrResultIndex, "results[0].index: index is missing, repeated or out of range, want one of 0 to 1"},
	} {
		err := c.request.CheckResponse([]byte(c.body))
		var responseErr *ResponseError
		if !errors.As(err, &responseErr) || responseErr.Field != c.field || !errors.Is(err, c.reason) || err.Error() != c.message {
			t.Errorf("%s: %v; want %q at %q", c.body, err, c.message, c.field)
		}
	}
	err := embeddings.CheckResponse([]byte(`{"data":[{"index":1,"embedding":[1]},{"index":0,"embedding":[1]}]}`))
	if err != nil {
		t.Error(err)
	}
}
