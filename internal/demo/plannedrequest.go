package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"martenlock/internal/openai"
)

const (
	sessionCount       = 200                    // sessions of chat and completions
	systemPromptCount  = 8                      // system prompts, which sessions share as prefixes
	systemPromptTokens = 60                     // length of each after its first sentence
	maxDisconnectDelay = 400 * time.Millisecond // longest wait of a client that disconnects early
	minDeadlineShare   = 0.5                    // least deadline of a client, as a share of its load's
	rerankTopN         = 2                      // documents in the answer to a rerank request
)

// plannedRequest is a request of a scenario.
type plannedRequest struct {
	at              time.Duration // since the start of the scenario
	load            *Load
	id              string
	wantsStream     bool
	promptTokens    int
	session         int
	deadline        time.Duration // since it was sent
	disconnectAfter time.Duration // 0 for never
	readsSlowly     bool
}

// plan draws all requests in advance, so that nothing in the run can change them.
func (s *Scenario) plan() []plannedRequest {
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	var requests []plannedRequest
	at := time.Duration(0)
	for {
		gap := rng.ExpFloat64() / s.rateAt(at) * float64(time.Second)
		at += time.Duration(gap)
		if at >= s.Length {
			return requests
		}
		load := s.drawLoad(rng)
		id := fmt.Sprintf("%s-%d", load.Name, len(requests))
		requests = append(requests, drawRequest(rng, at, load, id))
	}
}

// rateAt returns the request rate at a time of the scenario, including bursts.
func (s *Scenario) rateAt(at time.Duration) float64 {
	rate := s.RequestRate
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Kind == FaultBurst && fault.activeAt(at) {
			rate *= fault.Value
		}
	}
	return rate
}

// drawLoad draws a load by the loads' shares.
func (s *Scenario) drawLoad(rng *rand.Rand) *Load {
	total := 0.0
	for i := range s.Loads {
		total += s.Loads[i].Share
	}
	rest := rng.Float64() * total
	for i := range s.Loads {
		rest -= s.Loads[i].Share
		if rest < 0 {
			return &s.Loads[i]
		}
	}
	return &s.Loads[len(s.Loads)-1]
}

// drawRequest draws a request of a load. A seed gives the same requests only if the order of the draws stays.
func drawRequest(rng *rand.Rand, at time.Duration, load *Load, id string) plannedRequest {
	request := plannedRequest{at: at, load: load, id: id}
	request.wantsStream = rng.Float64() < load.StreamShare
	request.promptTokens = load.MinPromptTokens + rng.IntN(load.MaxPromptTokens-load.MinPromptTokens+1)
	request.session = rng.IntN(sessionCount)
	deadlineShare := minDeadlineShare + rng.Float64()*(1-minDeadlineShare)
	request.deadline = time.Duration(deadlineShare * float64(load.Deadline))
	request.readsSlowly = rng.Float64() < load.SlowReaderShare
	if rng.Float64() < load.DisconnectShare {
		request.disconnectAfter = time.Duration(rng.Float64() * float64(maxDisconnectDelay))
	}
	return request
}

// path returns the path of the request's operation.
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

// The bodies of requests. Their fields are in alphabetical order.
type (
	chatMessage struct {
		Content string `json:"content"`
		Role    string `json:"role"`
	}
	chatBody struct {
		MaxTokens      int           `json:"max_tokens"`
		Messages       []chatMessage `json:"messages"`
		Model          string        `json:"model"`
		PromptCacheKey string        `json:"prompt_cache_key"`
		Stream         bool          `json:"stream,omitempty"`
	}
	completionsBody struct {
		MaxTokens int    `json:"max_tokens"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		Stream    bool   `json:"stream,omitempty"`
		User      string `json:"user"`
	}
	embeddingsBody struct {
		Input  []string `json:"input"`
		Model  string   `json:"model"`
		Stream bool     `json:"stream,omitempty"`
	}
	rerankBody struct {
		Documents []string `json:"documents"`
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Stream    bool     `json:"stream,omitempty"`
		TopN      int      `json:"top_n"`
	}
)

// body returns the JSON body of the request.
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

// chatBody returns a conversation. Other sessions share its system prompt.
func (r *plannedRequest) chatBody() chatBody {
	system := fmt.Sprintf("You answer for depot %d. ", r.session%systemPromptCount) + textOfTokens(systemPromptTokens)
	user := r.id + " " + textOfTokens(r.promptTokens)
	return chatBody{
		MaxTokens:      r.load.AnswerTokens,
		Messages:       []chatMessage{{Role: "system", Content: system}, {Role: "user", Content: user}},
		Model:          "demo-chat",
		PromptCacheKey: fmt.Sprint(r.session),
		Stream:         r.wantsStream,
	}
}

// embeddingsBody divides the prompt among the inputs. All inputs differ.
func (r *plannedRequest) embeddingsBody() embeddingsBody {
	body := embeddingsBody{Model: "demo-embed", Stream: r.wantsStream}
	for i := range r.load.Items {
		input := fmt.Sprintf("%s/%d %s", r.id, i, textOfTokens(r.promptTokens/r.load.Items))
		body.Input = append(body.Input, input)
	}
	return body
}

// rerankBody divides the prompt among the documents.
func (r *plannedRequest) rerankBody() rerankBody {
	body := rerankBody{Model: "demo-rerank", Query: r.id, Stream: r.wantsStream, TopN: rerankTopN}
	for range r.load.Items {
		body.Documents = append(body.Documents, textOfTokens(r.promptTokens/r.load.Items+1))
	}
	return body
}

// textOfTokens returns a text that the fake engines count as the given number of tokens.
func textOfTokens(tokens int) string { return strings.Repeat("ice ", tokens) }
