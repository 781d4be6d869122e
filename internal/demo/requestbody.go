package demo

import (
	"encoding/json"
	"fmt"
	"strings"

	"martenlock/internal/openai"
)

const (
	systemPromptCount  = 8  // number of different system prompts, which sessions share
	systemPromptTokens = 60 // length of a system prompt after its first sentence
	rerankTopN         = 2  // maximum number of documents in the answer to a rerank request
)

func (r *plannedRequest) path() string {
	switch r.load.API {
	case openai.Chat:
		return "/v1/chat/completions"
	case openai.Completions:
		return "/v1/completions"
	case openai.Embeddings:
		return "/v1/embeddings"
	default:
		return "/v1/rerank"
	}
}

// ChatBody is the body of a chat request. Its fields are in alphabetical order, as in all bodies of this package.
type ChatBody struct {
	MaxTokens      int           `json:"max_tokens"`
	Messages       []ChatMessage `json:"messages"`
	Model          string        `json:"model"`
	PromptCacheKey string        `json:"prompt_cache_key"`
	Stream         bool          `json:"stream,omitempty"`
}

// ChatMessage is a message of a chat request.
type ChatMessage struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// EmbeddingsBody is the body of an embeddings request.
type EmbeddingsBody struct {
	EncodingFormat string   `json:"encoding_format,omitempty"`
	Input          []string `json:"input"`
	Model          string   `json:"model"`
	Stream         bool     `json:"stream,omitempty"`
}

type completionsBody struct {
	MaxTokens int    `json:"max_tokens"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream,omitempty"`
	User      string `json:"user"`
}

type rerankBody struct {
	Documents []string `json:"documents"`
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Stream    bool     `json:"stream,omitempty"`
	TopN      int      `json:"top_n"`
}

func (r *plannedRequest) body() ([]byte, error) {
	switch r.load.API {
	case openai.Chat:
		return json.Marshal(r.chatBody())
	case openai.Completions:
		return json.Marshal(completionsBody{
			MaxTokens: r.load.AnswerTokens,
			Model:     "demo-chat",
			Prompt:    r.id + " " + textOfTokens(r.promptTokens),
			Stream:    r.wantsStream,
			User:      fmt.Sprint(r.session),
		})
	case openai.Embeddings:
		return json.Marshal(r.embeddingsBody())
	default:
		return json.Marshal(r.rerankBody())
	}
}

// chatBody returns a conversation whose system prompt other sessions share.
func (r *plannedRequest) chatBody() ChatBody {
	system := fmt.Sprintf("You answer for depot %d. ", r.session%systemPromptCount) + textOfTokens(systemPromptTokens)
	user := r.id + " " + textOfTokens(r.promptTokens)
	return ChatBody{
		MaxTokens:      r.load.AnswerTokens,
		Messages:       []ChatMessage{{Role: "system", Content: system}, {Role: "user", Content: user}},
		Model:          "demo-chat",
		PromptCacheKey: fmt.Sprint(r.session),
		Stream:         r.wantsStream,
	}
}

// embeddingsBody divides the prompt tokens among the inputs. Each input has a different text.
func (r *plannedRequest) embeddingsBody() EmbeddingsBody {
	body := EmbeddingsBody{Model: "demo-embed", Stream: r.wantsStream}
	for i := range r.load.Items {
		input := fmt.Sprintf("%s/%d %s", r.id, i, textOfTokens(r.promptTokens/r.load.Items))
		body.Input = append(body.Input, input)
	}
	return body
}

// rerankBody divides the prompt tokens among the documents.
func (r *plannedRequest) rerankBody() rerankBody {
	body := rerankBody{Model: "demo-rerank", Query: r.id, Stream: r.wantsStream, TopN: rerankTopN}
	for range r.load.Items {
		body.Documents = append(body.Documents, textOfTokens(r.promptTokens/r.load.Items+1))
	}
	return body
}

// textOfTokens returns a text that the fake engines count as the given number of tokens.
func textOfTokens(tokens int) string { return strings.Repeat("ice ", tokens) }
