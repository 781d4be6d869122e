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

// rejectionTime is how long the engines reject requests until the client's retry is served.
const rejectionTime = 300 * time.Millisecond

// newClient returns the Go client of the router at baseURL.
func newClient(baseURL string) openai.Client {
	return openai.NewClient(option.WithBaseURL(baseURL+"/v1/"), option.WithAPIKey("none"))
}

// newChat returns a chat completion of four tokens.
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

	// The client retries a rejection after the time that the answer names.
	setFault(cluster, fakeengine.Fault{RejectAll: true})
	time.AfterFunc(rejectionTime, func() { setFault(cluster, fakeengine.Fault{}) })
	_, err := client.Chat.Completions.New(context.Background(), newChat("demo-chat"), option.WithMaxRetries(20))
	if err != nil {
		t.Error(err)
	}
}

// checkChat checks a chat completion that is not streamed.
func checkChat(t *testing.T, client openai.Client) {
	t.Helper()
	answer, err := client.Chat.Completions.New(context.Background(), newChat("demo-chat"))
	if err != nil || answer.Choices[0].Message.Content != fourTokens || answer.Usage.CompletionTokens != 4 {
		t.Fatal(answer, err)
	}
}

// checkStream checks a streamed chat completion.
func checkStream(t *testing.T, client openai.Client) {
	t.Helper()
	chat := newChat("demo-chat")
	chat.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat)
	streamed := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		streamed.AddChunk(stream.Current())
	}
	if stream.Err() != nil || streamed.Choices[0].Message.Content != fourTokens || streamed.Usage.CompletionTokens != 4 {
		t.Error(streamed, stream.Err())
	}
}

// checkEmbeddings checks an embeddings request of two inputs.
func checkEmbeddings(t *testing.T, client openai.Client) {
	t.Helper()
	embeddings, err := client.Embeddings.New(context.Background(), openai.EmbeddingNewParams{
		Model:      "demo-embed",
		Dimensions: openai.Int(4),
		Input:      openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: []string{"a", "b"}},
	})
	if err != nil || len(embeddings.Data) != 2 || len(embeddings.Data[1].Embedding) != 4 {
		t.Error(embeddings, err)
	}
}

// checkModels checks the list of models.
func checkModels(t *testing.T, client openai.Client) {
	t.Helper()
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 3 {
		t.Error(models, err)
	}
}

// checkUnknownModel checks that the client reports an unknown model with status and code.
func checkUnknownModel(t *testing.T, client openai.Client) {
	t.Helper()
	_, err := client.Chat.Completions.New(context.Background(), newChat("nobody"))
	var apiError *openai.Error
	if !errors.As(err, &apiError) || apiError.StatusCode != http.StatusNotFound || apiError.Code != "model_not_found" {
		t.Error(err)
	}
}
