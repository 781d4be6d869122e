package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"martenlock/internal/demo"
	"martenlock/internal/latency"
)

const (
	maxIdleConnections = 4096 // exceeds the number of requests in flight

	retryDelay = 50 * time.Millisecond // wait of a closed-loop client after a request that was not served
)

// loadGenerator sends requests to a router and records their outcomes and latencies.
type loadGenerator struct {
	baseURL   string
	client    *http.Client
	latencies *latency.Histogram
	served    atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
}

func newLoadGenerator(cluster *demo.Cluster) *loadGenerator {
	return &loadGenerator{
		baseURL:   "http://" + cluster.Service.Router.Addr(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		latencies: latency.NewHistogram(),
	}
}

// send sends a request and reports whether it was served. due is the time for which the request was scheduled. If the
// response has status 200, send records the time from due to the first byte of the body. This includes any delay before
// sending.
func (l *loadGenerator) send(path, class string, body []byte, due time.Time) bool {
	request, err := http.NewRequest(http.MethodPost, l.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("X-Request-Class", class)
	response, err := l.client.Do(request)
	if err != nil {
		l.failed.Add(1)
		return false
	}
	defer func() { _ = response.Body.Close() }() // reading the body has ended or failed by then
	if response.StatusCode == http.StatusOK {
		_, _ = io.ReadFull(response.Body, make([]byte, 1))
		l.latencies.Record(time.Since(due))
	}
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		l.served.Add(1)
		return true
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		l.rejected.Add(1)
	default:
		l.failed.Add(1)
	}
	return false
}

// latencyMillis returns a percentile of the recorded latencies in milliseconds.
func (l *loadGenerator) latencyMillis(percent float64) float64 {
	return latency.Milliseconds(l.latencies.Percentile(percent))
}

// notServed returns the number of requests that were rejected or failed.
func (l *loadGenerator) notServed() int64 { return l.rejected.Load() + l.failed.Load() }

// runOpenLoop schedules requests for the duration span at a mean rate that does not depend on the responses (Poisson
// arrivals). It calls send with the number of the request and the time for which it was scheduled, and returns when all
// calls have returned.
func runOpenLoop(span time.Duration, requestsPerSecond float64, seed uint64, send func(number int, due time.Time)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	startedAt := time.Now()
	offset := time.Duration(0)
	for number := 0; offset < span; number++ {
		due := startedAt.Add(offset)
		time.Sleep(time.Until(due))
		requests.Go(func() { send(number, due) })
		offset += time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second))
	}
	requests.Wait()
}

// runClosedLoop runs clients that each send their next request after the response to the previous one. It calls send with
// the number of the request; send reports whether the request was served. If not, the client waits for retryDelay.
func runClosedLoop(span time.Duration, clients int, send func(number int) bool) {
	var running sync.WaitGroup
	var lastNumber atomic.Int64
	end := time.Now().Add(span)
	for range clients {
		running.Go(func() {
			for time.Now().Before(end) {
				served := send(int(lastNumber.Add(1)))
				if !served {
					time.Sleep(retryDelay)
				}
			}
		})
	}
	running.Wait()
}

// inputPrefixTokens is the approximate number of tokens of the prefix that makes an input unique.
const inputPrefixTokens = 3

// sendEmbeddings sends a request with several inputs of about the given number of tokens each. id has to be unique among the
// requests of a load, so that all inputs differ.
func (l *loadGenerator) sendEmbeddings(class, id string, inputs, tokens int, due time.Time) bool {
	texts := make([]string, inputs)
	for i := range texts {
		texts[i] = fmt.Sprintf("%s/%d ", id, i) + strings.Repeat("ice ", max(tokens-inputPrefixTokens, 0))
	}
	body, err := json.Marshal(demo.EmbeddingsBody{EncodingFormat: "base64", Input: texts, Model: "m"})
	if err != nil {
		return false
	}
	return l.send("/v1/embeddings", class, body, due)
}

// Parameters of chat requests.
const (
	chatSessions     = 100 // sessions that requests are spread over
	chatPromptTokens = 200
	chatMaxTokens    = 20
)

// sendChat sends a chat request with a streamed response.
func (l *loadGenerator) sendChat(number int, due time.Time) bool {
	prompt := fmt.Sprint(number) + strings.Repeat(" ice", chatPromptTokens)
	body, err := json.Marshal(demo.ChatBody{
		MaxTokens:      chatMaxTokens,
		Messages:       []demo.ChatMessage{{Content: prompt, Role: "user"}},
		Model:          "m",
		PromptCacheKey: fmt.Sprint(number % chatSessions),
		Stream:         true,
	})
	if err != nil {
		return false
	}
	return l.send("/v1/chat/completions", chatClass, body, due)
}
