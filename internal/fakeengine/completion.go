package fakeengine

import (
	"fmt"
	"strings"

	"martenlock/internal/openai"
)

// tokenText returns the text of the token at an index of the answer.
func tokenText(index int) string { return vocabulary[index%len(vocabulary)] + " " }

// streamEvent returns the data of a server-sent event. finishReason is raw JSON.
func (j *job) streamEvent(text, finishReason string) []byte {
	if j.request.API == openai.Completions {
		return fmt.Appendf(nil, `{"id":%q,"object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`,
			j.requestID, j.request.Model, text, finishReason)
	}
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}]}`,
		j.requestID, j.request.Model, text, finishReason)
}

// completion returns the body of a response that is not streamed.
func (j *job) completion() []byte {
	var text strings.Builder
	for i := range j.tokensGenerated {
		text.WriteString(tokenText(i))
	}
	object := "chat.completion"
	choice := fmt.Sprintf(`"message":{"role":"assistant","content":%q,"refusal":null},"logprobs":null`, text.String())
	if j.request.API == openai.Completions {
		object = "text_completion"
		choice = fmt.Sprintf(`"text":%q,"logprobs":null`, text.String())
	}
	return fmt.Appendf(nil, `{"id":%q,"object":%q,"created":1,"model":%q,"choices":[{"index":0,%s,"finish_reason":"stop"}],"usage":%s}`,
		j.requestID, object, j.request.Model, choice, j.usage())
}

// prefillResponse returns the body of the response to a prefill request: one token, and the parameters
// for fetching the KV state.
func (j *job) prefillResponse(state []byte) []byte {
	prompt := int(j.request.PromptTokens)
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion","created":1,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":"x"},"finish_reason":"length"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":1,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}},"kv_transfer_params":%s}`,
		j.requestID, j.request.Model, prompt, prompt+1, kvTransferParams(j, state))
}

// usage returns the token counts of a response as raw JSON.
func (j *job) usage() string {
	prompt := int(j.request.PromptTokens)
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, j.tokensGenerated, prompt+j.tokensGenerated)
}
