package openaiserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"martenlock/internal/invariant"
)

const (
	chatPath       = "/v1/chat/completions"
	embeddingsPath = "/v1/embeddings"
	rerankPath     = "/v1/rerank"
)

// request is a client's request to the router.
type request struct {
	ctx      context.Context // nil if the request is never cancelled
	path     string          // "" for chatPath
	class    string          // "" for "ask"
	session  string
	tenant   string
	deadline time.Duration // value of X-Request-Deadline-Ms; 0 to omit the field
	body     string        // "" for a chat completion request with the values below

	stream    bool
	maxTokens int // 0 counts as 1
	prompt    string
}

// deadlines holds the deadlines of the demo's classes.
var deadlines = map[string]time.Duration{"ask": 5 * time.Second, "job": 6 * time.Second, "note": 6 * time.Second, "search": 3 * time.Second}

// effects says for each class of the demo what a repeated execution does. Classes that are not listed are idempotent.
var effects = map[string]invariant.Effect{"job": invariant.IdempotentWithKey, "note": invariant.NotIdempotent}

// response is the router's response as far as the client has received it.
type response struct {
	status  int
	header  http.Header
	body    string
	err     error // set if the body is incomplete or there was no response at all
	elapsed time.Duration
}

// send sends a request to the router, records what the client observes and returns the response. If the request can't
// be sent or the client cancels it, the response has an error.
func (h *harness) send(r request) response {
	if r.class == "" {
		r.class = "ask"
	}
	if r.ctx == nil {
		r.ctx = context.Background()
	}
	id := fmt.Sprintf("c%d", h.requestCount.Add(1))
	httpRequest, err := h.newHTTPRequest(r, id)
	if err != nil {
		return response{err: err}
	}
	timeBudget := deadlines[r.class]
	if r.deadline > 0 {
		timeBudget = r.deadline
	}
	startedAt := h.Clock()
	h.recording.Add(invariant.Event{At: startedAt, Kind: invariant.RequestSent, Request: id, Effect: effects[r.class], DedupWindow: 3 * time.Second, Deadline: startedAt + timeBudget})

	httpResponse, err := h.client.Do(httpRequest)
	if err != nil {
		h.recording.Add(invariant.Event{At: h.Clock(), Kind: invariant.ClientLeft, Request: id})
		return response{err: err}
	}
	defer httpResponse.Body.Close()
	if r.stream && httpResponse.StatusCode == http.StatusOK {
		h.recording.Add(invariant.Event{At: h.Clock(), Kind: invariant.FirstToken, Request: id})
	}
	body, err := io.ReadAll(httpResponse.Body)
	received := response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(body), err: err, elapsed: h.Clock() - startedAt}
	if err != nil && r.ctx.Err() != nil {
		h.recording.Add(invariant.Event{At: h.Clock(), Kind: invariant.ClientLeft, Request: id})
		return received
	}
	h.recording.Add(invariant.Event{At: h.Clock(), Kind: invariant.FinalAnswer, Request: id, Result: received.result(r.stream)})
	return received
}

// newHTTPRequest returns the HTTP request for r. The client's own id for it is in X-Client-Request-Id.
func (h *harness) newHTTPRequest(r request, id string) (*http.Request, error) {
	if r.path == "" {
		r.path = chatPath
	}
	if r.body == "" {
		r.body = fmt.Sprintf(`{"model":"demo-chat","max_tokens":%d,"stream":%v,"messages":[{"role":"system","content":"You are a plumber."},{"role":"user","content":"frozen %s"}]}`,
			max(r.maxTokens, 1), r.stream, r.prompt)
	}
	httpRequest, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+h.address()+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("X-Client-Request-Id", id)
	httpRequest.Header.Set("X-Request-Class", r.class)
	if r.deadline > 0 {
		httpRequest.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	}
	if r.session != "" {
		httpRequest.Header.Set("X-Session-Id", r.session)
	}
	if r.tenant != "" {
		httpRequest.Header.Set("X-Tenant", r.tenant)
	}
	return httpRequest, nil
}

// sendEmbeddings sends an embeddings request of class "search".
func (h *harness) sendEmbeddings(body string) response {
	return h.send(request{path: embeddingsPath, class: "search", body: body})
}

// result classifies the response for the recording.
func (r response) result(isStream bool) invariant.Result {
	switch {
	case r.served():
		return invariant.Served
	case r.rejected(), r.status >= http.StatusBadRequest && r.status < http.StatusTooManyRequests:
		return invariant.Rejected
	case r.failed(), isStream && r.err != nil && strings.Contains(r.body, `{"error"`):
		return invariant.Failed
	}
	return invariant.Malformed
}

// served reports whether the response is a complete, successful answer.
func (r response) served() bool {
	return r.status == http.StatusOK && r.err == nil && (json.Valid([]byte(r.body)) || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
}

// rejected reports whether the response says that nothing was executed and when to retry.
func (r response) rejected() bool {
	return (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) &&
		r.header.Get("Retry-After") != "" && r.header.Get("Retry-After-Ms") != ""
}

// failed reports whether the response says that the request may have been executed.
func (r response) failed() bool {
	return (r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout) && r.header.Get("X-Should-Retry") == "false"
}

// aborted reports whether the response is a stream that ended with an error event.
func (r response) aborted() bool {
	return r.status == http.StatusOK && r.err != nil && strings.Contains(r.body, `{"error"`) && !strings.Contains(r.body, "[DONE]")
}

func (r response) String() string {
	return fmt.Sprintf("%d %v %.300q after %v", r.status, r.err, r.body, r.elapsed)
}

func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address())
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// inputList returns a JSON list of n texts of different lengths that start with prefix.
func inputList(n int, prefix string) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%q", fmt.Sprintf("%s %d ", prefix, i)+strings.Repeat("ice ", i%7)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

type embeddingsAnswer struct {
	vectors      [][]float64
	promptTokens int
}

// parseEmbeddings parses the answer to an embeddings request. It returns an empty answer if the body is not valid JSON,
// the indices are not in order, a vector is missing or the usage is inconsistent.
func parseEmbeddings(body string) embeddingsAnswer {
	var parsed struct {
		Data []struct {
			Index     int
			Embedding []float64
		}
		Usage struct {
			Prompt int `json:"prompt_tokens"`
			Total  int `json:"total_tokens"`
		}
	}
	err := json.Unmarshal([]byte(body), &parsed)
	if err != nil || parsed.Usage.Prompt != parsed.Usage.Total {
		return embeddingsAnswer{}
	}
	answer := embeddingsAnswer{promptTokens: parsed.Usage.Prompt}
	for i, item := range parsed.Data {
		if item.Index != i || len(item.Embedding) == 0 {
			return embeddingsAnswer{}
		}
		answer.vectors = append(answer.vectors, item.Embedding)
	}
	return answer
}

func sameVector(a, b []float64) bool { return fmt.Sprint(a) == fmt.Sprint(b) }
