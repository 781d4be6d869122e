package openai

import "github.com/tidwall/gjson"

// decodeRerank decodes the members that only rerank requests have.
func (r *Request) decodeRerank(fields *requestFields, options *DecodeOptions) *Error {
	query, err := decodeString("query", fields.query)
	if err != nil {
		return err
	}
	if query == "" {
		return InvalidRequest("query", "query must be a string that is not empty")
	}
	r.TopN, err = decodeCount("top_n", fields.topN)
	if err != nil {
		return err
	}
	_, err = decodeBool("return_documents", fields.returnDocuments)
	if err != nil {
		return err
	}
	if !fields.documents.IsArray() {
		return InvalidRequest("documents", "documents must be a list")
	}
	return r.decodeDocuments(query, fields.documents, options)
}

// decodeDocuments decodes the documents. An engine scores each document together with the query, so
// the tokens of each include those of the query.
func (r *Request) decodeDocuments(query string, documents gjson.Result, options *DecodeOptions) (err *Error) {
	documents.ForEach(func(_, document gjson.Result) bool {
		text := document
		if document.IsObject() {
			text = document.Get("text")
		}
		if text.Type != gjson.String {
			err = InvalidRequest("documents", "documents[%d] must be a string or an object with a text", r.ItemCount)
			return false
		}
		tokens := options.tokens(len(query) + len(text.Str))
		r.PromptTokens += tokens
		r.LongestItemTokens = max(r.LongestItemTokens, tokens)
		r.ItemCount++
		if r.ItemCount > options.MaxDocuments {
			err = InvalidRequest("documents", "there are more than %d documents", options.MaxDocuments)
		}
		return err == nil
	})
	if err != nil {
		return err
	}
	if r.ItemCount == 0 {
		return InvalidRequest("documents", "documents must not be empty")
	}
	return nil
}
