// Package clienttest runs the public clients of OpenAI's API, unmodified, against a router.
//
// It is no model of the clients' users: it makes each sort of call once or a few times, before
// the demo's fake engines. It shows that the clients understand the router's answers and
// errors, and says nothing of load, latency or what a model answers.
package clienttest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
)

const (
	fourTokens   = "snow on the roof " // what the fake engines answer to a request for four tokens
	chatEngines  = "pool:chat"         // the target of all engines that chat
	rejectedTime = 300 * time.Millisecond
)

// startWorld starts a router and fake engines, closes them when the test ends, and returns
// them with the router's URL.
func startWorld(t *testing.T) (world *demo.Cluster, baseURL string) {
	t.Helper()
	world, err := demo.Start(demo.Options{Listen: "127.0.0.1:0", Seed: 1, LogLevel: "error", Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		err := world.Close()
		if err != nil {
			t.Error(err)
		}
	})
	return world, "http://" + world.Service.Router.Addr()
}

// setFault sets what is wrong with all engines that chat.
func setFault(world *demo.Cluster, fault fakeengine.Fault) {
	for _, engine := range world.FindEngines(chatEngines) {
		engine.SetFault(fault)
	}
}

func TestGoClientIsServedAndUnderstandsErrors(t *testing.T) {
	world, baseURL := startWorld(t)
	ctx := context.Background()
	client := openai.NewClient(option.WithBaseURL(baseURL+"/v1/"), option.WithAPIKey("none"))
	chat := openai.ChatCompletionNewParams{
		Model:               "demo-chat",
		MaxCompletionTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You are a plumber."),
			openai.UserMessage("My pipe is frozen."),
		},
	}
	whole, err := client.Chat.Completions.New(ctx, chat)
	if err != nil || whole.Choices[0].Message.Content != fourTokens || whole.Usage.CompletionTokens != 4 {
		t.Fatal(whole, err)
	}
	chat.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, chat)
	streamed := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		streamed.AddChunk(stream.Current())
	}
	if stream.Err() != nil || streamed.Choices[0].Message.Content != fourTokens || streamed.Usage.CompletionTokens != 4 {
		t.Error(streamed, stream.Err())
	}
	embeddings, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{
		Model:      "demo-embed",
		Dimensions: openai.Int(4),
		Input:      openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: []string{"a", "b"}},
	})
	if err != nil || len(embeddings.Data) != 2 || len(embeddings.Data[1].Embedding) != 4 {
		t.Error(embeddings, err)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 3 {
		t.Error(models, err)
	}
	chat.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	chat.Model = "nobody"
	_, err = client.Chat.Completions.New(ctx, chat)
	var apiError *openai.Error
	if !errors.As(err, &apiError) || apiError.StatusCode != http.StatusNotFound || apiError.Code != "model_not_found" {
		t.Error(err)
	}
	// The client retries a rejection after the time that it names, here until the engines
	// accept requests again.
	chat.Model = "demo-chat"
	setFault(world, fakeengine.Fault{RejectAll: true})
	time.AfterFunc(rejectedTime, func() { setFault(world, fakeengine.Fault{}) })
	_, err = client.Chat.Completions.New(ctx, chat, option.WithMaxRetries(20))
	if err != nil {
		t.Error(err)
	}
}

// TestNodeClientIsServedAndUnderstandsErrors needs node and the openai package in node/ (npm
// install there; .ci/run does it).
func TestNodeClientIsServedAndUnderstandsErrors(t *testing.T) {
	_, err := os.Stat(filepath.Join("node", "node_modules", "openai"))
	if err != nil {
		t.Skip("run npm install --no-package-lock in internal/clienttest/node to have this test")
	}
	_, baseURL := startWorld(t)
	output, err := exec.Command("node", filepath.Join("node", "check.mjs"), baseURL).CombinedOutput()
	if err != nil || !strings.HasSuffix(string(output), "good\n") {
		t.Errorf("%v\n%s", err, output)
	}
}
