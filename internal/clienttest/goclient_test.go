package clienttest

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"martenlock/internal/fakeengine"
)

// rejectionDuration is the time for which the engines reject all requests.
const rejectionDuration = 300 * time.Millisecond

// newClient returns OpenAI's Go client for the router at baseURL.
func newClient(baseURL string) openai.Client {
	return openai.NewClient(option.WithBaseURL(baseURL+"/v1/"), option.WithAPIKey("none"))
}

// newChat returns the parameters of a chat completion of at most four tokens.
func newChat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               model,
		MaxCompletionTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You are a plumber."),
			openai.UserMessage("My pipe is frozen."),
		},
	}
}

func TestGoClientIsServedAndUnderstandsErrors(t *testing.T) {
	cluster, baseURL := startCluster(t)
	client := newClient(baseURL)
	checkChat(t, client)
	checkStream(t, client)
	checkEmbeddings(t, client)
	checkModels(t, client)
	checkUnknownModel(t, client)

	// The client retries a rejected request after the delay that the response asks for.
	setFault(cluster, fakeengine.Fault{RejectAll: true})
	time.AfterFunc(rejectionDuration, func() { setFault(cluster, fakeengine.Fault{}) })
	_, err := client.Chat.Completions.New(context.Background(), newChat("demo-chat"), option.WithMaxRetries(20))
	if err != nil {
		t.Errorf("chat completion with retries of rejected requests: %v", err)
	}
}

// checkChat checks a chat completion that is not streamed.
func checkChat(t *testing.T, client openai.Client) {
	t.Helper()
	completion, err := client.Chat.Completions.New(context.Background(), newChat("demo-chat"))
	if err != nil || completion.Choices[0].Message.Content != fourTokenText || completion.Usage.CompletionTokens != 4 {
		t.Fatalf("chat completion: got %+v, error %v; want content %q and 4 completion tokens", completion, err, fourTokenText)
	}
}

func checkStream(t *testing.T, client openai.Client) {
	t.Helper()
	chat := newChat("demo-chat")
	chat.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulated.AddChunk(stream.Current())
	}
	if stream.Err() != nil || accumulated.Choices[0].Message.Content != fourTokenText || accumulated.Usage.CompletionTokens != 4 {
		t.Errorf("streamed chat completion: got %+v, error %v; want content %q and 4 completion tokens", accumulated, stream.Err(), fourTokenText)
	}
}

func checkEmbeddings(t *testing.T, client openai.Client) {
	t.Helper()
	embeddings, err := client.Embeddings.New(context.Background(), openai.EmbeddingNewParams{
		Model:      "demo-embed",
		Dimensions: openai.Int(4),
		Input:      openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: []string{"a", "b"}},
	})
	if err != nil || len(embeddings.Data) != 2 || len(embeddings.Data[1].Embedding) != 4 {
		t.Errorf("embeddings of 2 inputs: got %+v, error %v; want 2 vectors of 4 dimensions", embeddings, err)
	}
}

func checkModels(t *testing.T, client openai.Client) {
	t.Helper()
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 3 {
		t.Errorf("list of models: got %+v, error %v; want 3 models", models, err)
	}
}

// checkUnknownModel checks the status and the error code that the client reports for an unknown model.
func checkUnknownModel(t *testing.T, client openai.Client) {
	t.Helper()
	_, err := client.Chat.Completions.New(context.Background(), newChat("nobody"))
	var apiError *openai.Error
	if !errors.As(err, &apiError) || apiError.StatusCode != http.StatusNotFound || apiError.Code != "model_not_found" {
		t.Errorf("unknown model: got error %v, want status 404 and code model_not_found", err)
	}
}
