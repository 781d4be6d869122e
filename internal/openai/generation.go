package openai

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// decodeChat decodes the members that only chat completions have.
func (r *Request) decodeChat(fields *requestFields, options *DecodeOptions) *Error {
	err := r.decodeGenerationOptions(fields, options)
	if err != nil {
		return err
	}
	return r.decodeMessages(fields.messages, options)
}

// decodeCompletion decodes the members that only completions have.
func (r *Request) decodeCompletion(fields *requestFields, options *DecodeOptions) *Error {
	err := r.decodeGenerationOptions(fields, options)
	if err != nil {
		return err
	}
	isLong := fields.prompt.Type == gjson.String && len(fields.prompt.Str) > options.PrefixBytes
	if isLong && options.PrefixBytes > 0 {
		r.PrefixHash = xxhash.Sum64String(fields.prompt.Str[:options.PrefixBytes])
		r.PrefixTokens = options.tokens(options.PrefixBytes)
	}
	return r.decodeInputs("prompt", fields.prompt, options)
}

// decodeGenerationOptions decodes whether the response is streamed and how many tokens it may have.
func (r *Request) decodeGenerationOptions(fields *requestFields, options *DecodeOptions) (err *Error) {
	r.Stream, err = decodeBool("stream", fields.stream)
	if err != nil {
		return err
	}
	if isSet(fields.streamOptions) && !r.Stream {
		return InvalidRequest("stream_options", "stream_options is only allowed where stream is true")
	}
	maxTokens, err := decodeCount("max_tokens", fields.maxTokens)
	if err != nil {
		return err
	}
	maxCompletion, err := decodeCount("max_completion_tokens", fields.maxCompletionTokens)
	if err != nil {
		return err
	}
	choices, err := decodeCount("n", fields.choiceCount)
	if err != nil {
		return err
	}
	r.RequestedMaxTokens = max(maxTokens, maxCompletion)
	r.MaxTokens = r.RequestedMaxTokens
	if r.MaxTokens == 0 {
		r.MaxTokens = options.DefaultMaxTokens
	}
	r.MaxTokens *= max(choices, 1)
	return nil
}

// decodeMessages decodes the messages of a chat completion and hashes its shared prefix.
func (r *Request) decodeMessages(messages gjson.Result, options *DecodeOptions) (err *Error) {
	if !messages.IsArray() {
		return InvalidRequest("messages", "messages must be a list")
	}
	count := 0
	prefix := xxhash.New()
	messages.ForEach(func(_, message gjson.Result) bool {
		if !message.IsObject() || message.Get("role").Type != gjson.String {
			err = InvalidRequest(fmt.Sprintf("messages.[%d].role", count), "messages[%d] must be an object with a role", count)
			return false
		}
		r.PromptTokens += options.tokens(len(message.Raw))
		count++
		if count <= options.PrefixMessages {
			_, _ = prefix.WriteString(message.Raw) // never fails
			r.PrefixTokens = r.PromptTokens
		}
		return true
	})
	if err != nil {
		return err
	}
	if count == 0 {
		return InvalidRequest("messages", "messages must not be empty")
	}
	r.LongestItemTokens = r.PromptTokens
	// If the prefix is the whole conversation, no other session is expected to share it.
	isShared := options.PrefixMessages > 0 && count > options.PrefixMessages
	if !isShared {
		r.PrefixTokens = 0
		return nil
	}
	r.PrefixHash = prefix.Sum64()
	return nil
}
