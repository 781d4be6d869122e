package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"martenlock/internal/invariant"
)

const (
	clientTimeoutMargin = 30 * time.Second // time after a request's deadline at which the client aborts the request

	slowReadBytes = 64                    // maximum bytes of a read of a slow client
	slowReadPause = 10 * time.Millisecond // wait of a slow client before each read
)

// send sends a request and records the events that its client observes.
func (run *scenarioRun) send(planned *plannedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), planned.deadline+clientTimeoutMargin)
	defer cancel()
	request, err := run.newRequest(ctx, planned)
	if err != nil {
		run.fail(err)
		return
	}
	sentAt := run.cluster.Clock()
	run.recording.Add(invariant.Event{
		At:          sentAt,
		Kind:        invariant.RequestSent,
		Request:     planned.id,
		Effect:      planned.load.Effect,
		DedupWindow: planned.load.DedupWindow,
		Deadline:    sentAt + planned.deadline,
	})
	if planned.disconnectAfter > 0 {
		timer := time.AfterFunc(planned.disconnectAfter, func() {
			run.recording.Add(invariant.Event{At: run.cluster.Clock(), Kind: invariant.ClientLeft, Request: planned.id})
			cancel()
		})
		defer timer.Stop()
	}
	onFirstToken := func() { run.recordFirstToken(planned, sentAt) }
	result, answered := run.receive(request, planned, onFirstToken)
	if answered {
		run.recording.Add(invariant.Event{At: run.cluster.Clock(), Kind: invariant.FinalAnswer, Request: planned.id, Result: result})
	}
}

func (run *scenarioRun) newRequest(ctx context.Context, planned *plannedRequest) (*http.Request, error) {
	body, err := planned.body()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, run.baseURL+planned.path(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Client-Request-Id", planned.id)
	request.Header.Set("X-Request-Class", planned.load.Class)
	request.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(planned.deadline.Milliseconds(), 10))
	return request, nil
}

// recordFirstToken records that the first token or, without streaming, the complete answer arrived.
func (run *scenarioRun) recordFirstToken(planned *plannedRequest, sentAt time.Duration) {
	now := run.cluster.Clock()
	run.recording.Add(invariant.Event{At: now, Kind: invariant.FirstToken, Request: planned.id})
	run.latencies.Record(now - sentAt)
}

// receive sends the request and reads its answer. answered is false if the client got no response, or if it disconnected or
// timed out before the end of a response with status 200.
func (run *scenarioRun) receive(request *http.Request, planned *plannedRequest, onFirstToken func()) (result invariant.Result, answered bool) {
	response, err := run.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end or failed
	switch {
	case response.StatusCode != http.StatusOK:
		return classifyError(response), true
	case planned.wantsStream:
		return receiveStream(request.Context(), response, planned.readsSlowly, onFirstToken)
	default:
		return receiveUnstreamed(request.Context(), response, onFirstToken)
	}
}

// classifyError returns the result of a request whose response does not have status 200.
func classifyError(response *http.Response) invariant.Result {
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(body, []byte(`"error"`)) {
		return invariant.Malformed
	}
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if response.Header.Get("Retry-After") != "" {
			return invariant.Rejected
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if response.Header.Get("X-Should-Retry") == "false" {
			return invariant.Failed
		}
	}
	return invariant.Malformed
}

func receiveUnstreamed(ctx context.Context, response *http.Response, onFirstToken func()) (result invariant.Result, answered bool) {
	body, err := io.ReadAll(response.Body)
	if err == nil && json.Valid(body) {
		onFirstToken()
		return invariant.Served, true
	}
	if ctx.Err() != nil {
		return 0, false
	}
	return invariant.Malformed, true
}

func receiveStream(ctx context.Context, response *http.Response, readsSlowly bool, onFirstToken func()) (result invariant.Result, answered bool) {
	var reader io.Reader = response.Body
	if readsSlowly {
		reader = slowReader{reader: response.Body}
	}
	lines := bufio.NewScanner(reader)
	hasFirstToken := false
	isDone := false
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isEvent, isDone:
			return invariant.Malformed, true // not an event, or an event after the end
		case data == "[DONE]":
			isDone = true
		case strings.HasPrefix(data, `{"error"`):
			return invariant.Failed, true
		case !hasFirstToken:
			hasFirstToken = true
			onFirstToken()
		}
	}
	switch {
	case ctx.Err() != nil:
		return 0, false
	case isDone && lines.Err() == nil:
		return invariant.Served, true
	}
	return invariant.Malformed, true
}

// slowReader limits the rate at which it reads from another reader.
type slowReader struct{ reader io.Reader }

// Read implements io.Reader. It waits, then reads a few bytes.
func (s slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowReadPause)
	return s.reader.Read(buffer[:min(len(buffer), slowReadBytes)])
}
