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
	maxIdleConnections = 4096 // above the requests that a load has in flight

	retryDelay = 50 * time.Millisecond // wait of a client of a closed loop after a request that was not served
)

// load sends requests to a router and counts how they ended.
type load struct {
	baseURL   string
	client    *http.Client
	latencies *latency.Histogram
	served    atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
}

// newLoad returns a load on a cluster's router.
func newLoad(cluster *demo.Cluster) *load {
	return &load{
		baseURL:   "http://" + cluster.Service.Router.Addr(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		latencies: latency.NewHistogram(),
	}
}

// send sends a request and reports whether it was served. Its latency is the time from due, which may be before it is sent,
// to the first byte of the answer's body.
func (l *load) send(path, class string, body []byte, due time.Time) bool {
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
	defer func() { _ = response.Body.Close() }() // the body was read to its end or failed
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

// milliseconds returns the latency that the given percentage of latencies does not exceed.
func (l *load) milliseconds(percent float64) float64 {
	return latency.Milliseconds(l.latencies.Percentile(percent))
}

// notServed returns how many requests were rejected or failed.
func (l *load) notServed() int64 { return l.rejected.Load() + l.failed.Load() }

// runOpenLoop sends requests at a rate that does not depend on the answers (Poisson arrivals). It returns when all are
// answered. send gets the number of the request and the time when it was due.
func runOpenLoop(span time.Duration, requestsPerSecond float64, seed uint64, send func(number int, due time.Time)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	startedAt := time.Now()
	at := time.Duration(0)
	for number := 0; at < span; number++ {
		due := startedAt.Add(at)
		time.Sleep(time.Until(due))
		requests.Go(func() { send(number, due) })
		at += time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second))
	}
	requests.Wait()
}

// runClosedLoop runs clients that send their next request after the answer to the last one. send gets the number of the
// request and reports whether it was served. After a request that was not served the client waits for retryDelay.
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

// inputTagTokens is about the number of tokens of the tag that makes an input unique.
const inputTagTokens = 3

// sendEmbeddings sends a request of several inputs of about the given number of tokens. All inputs of a load differ.
func (l *load) sendEmbeddings(class, id string, inputs, tokens int, due time.Time) bool {
	list := make([]string, inputs)
	for i := range list {
		list[i] = fmt.Sprintf("%s/%d ", id, i) + strings.Repeat("ice ", max(tokens-inputTagTokens, 0))
	}
	body, err := json.Marshal(demo.EmbeddingsBody{EncodingFormat: "base64", Input: list, Model: "m"})
	if err != nil {
		return false
	}
	return l.send("/v1/embeddings", class, body, due)
}

// The sizes of chat requests.
const (
	chatSessions     = 100
	chatPromptTokens = 200
	chatAnswerTokens = 20
)

// sendChat sends a chat request with a streamed answer.
func (l *load) sendChat(number int, due time.Time) bool {
	prompt := fmt.Sprint(number) + strings.Repeat(" ice", chatPromptTokens)
	body, err := json.Marshal(demo.ChatBody{
		MaxTokens:      chatAnswerTokens,
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
