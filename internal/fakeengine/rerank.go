package fakeengine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// scoredDocument is a document of a rerank request with its score.
type scoredDocument struct {
	index int // in the request
	text  string
	score float64
}

// rerank returns the body of the response to a rerank request.
func (j *job) rerank() []byte {
	documents := rankDocuments(j.body)
	withText := gjson.GetBytes(j.body, "return_documents").Bool()
	out := fmt.Appendf(nil, `{"id":%q,"model":%q,"results":[`, j.requestID, j.request.Model)
	for i, document := range documents {
		if i > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, `{"index":%d,"relevance_score":%g`, document.index, document.score)
		if withText {
			out = append(out, `,"document":{"text":`...)
			out = gjson.AppendJSONString(out, document.text)
			out = append(out, '}')
		}
		out = append(out, '}')
	}
	return fmt.Appendf(out, `],"usage":{"total_tokens":%d}}`, int(j.request.PromptTokens))
}

// rankDocuments returns the best documents of a request, up to its top_n, by descending score.
func rankDocuments(body []byte) []scoredDocument {
	queryWords := strings.Fields(strings.ToLower(gjson.GetBytes(body, "query").Str))
	var documents []scoredDocument
	for i, item := range gjson.GetBytes(body, "documents").Array() {
		text := item.Str
		if item.IsObject() {
			text = item.Get("text").Str
		}
		documents = append(documents, scoredDocument{index: i, text: text, score: relevance(queryWords, text)})
	}
	slices.SortStableFunc(documents, func(a, b scoredDocument) int { return cmp.Compare(b.score, a.score) })
	limit := int(gjson.GetBytes(body, "top_n").Int())
	if limit > 0 {
		return documents[:min(limit, len(documents))]
	}
	return documents
}

// relevance returns the score of a document, which grows with the share of the query's words in the document.
func relevance(queryWords []string, text string) float64 {
	const offset = 0.1 // keeps scores above 0 and below 1
	text = strings.ToLower(text)
	hits := 0
	for _, queryWord := range queryWords {
		if strings.Contains(text, queryWord) {
			hits++
		}
	}
	return (float64(hits) + offset) / (float64(len(queryWords)) + 1)
}
