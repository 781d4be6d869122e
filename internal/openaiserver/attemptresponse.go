package openaiserver

import (
	"net/http"

	"martenlock/control"
	"martenlock/control/outcome"
	"martenlock/internal/decisionloop"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
	"martenlock/internal/upstream"
)

// This file handles an engine's response. It implements upstream.ResponseHandler and derives the attempt's result.

// Limits on the buffered part of a response, in bytes.
const (
	maxPrefillResponseBytes = 4 << 20  // lists of KV block ids, no text
	maxErrorResponseBytes   = 64 << 10 // longer error responses are truncated
)

// statusKVMissing is the status that an engine responds with if it can't fetch the KV state named in the request.
const statusKVMissing = http.StatusFailedDependency

// Connected implements upstream.ResponseHandler. From this call on, the engine may execute the request.
func (a *attempt) Connected() { a.isConnected = true }

// Head implements upstream.ResponseHandler. It copies the fields that the attempt needs, because head is valid only
// during the call.
func (a *attempt) Head(head *http1.Head) {
	a.status = head.Status
	a.contentLength = head.ContentLength
	if head.Chunked {
		a.contentLength = -1
	}
	a.contentType = append([]byte(nil), head.Get("content-type")...)
	a.loadReport = openai.ParseLoadReport(head.Get("endpoint-load-metrics"), a.exchange.pool.settings.ReportMetrics)
}

// Data implements upstream.ResponseHandler. It buffers the body up to attempt.bufferLimit, if the server has memory
// for it. From the first part that is not buffered, an error response is truncated, and an answer that needs no check is
// streamed. A prefill response, and an answer that has to be checked, ends the attempt.
func (a *attempt) Data(data []byte) {
	server := a.exchange.pool.server
	isPrefill := a.role == control.RolePrefill
	isTooLong := len(a.buffered)+len(data) > a.bufferLimit()
	switch {
	case a.state == decisionloop.AttemptEnded:
	case a.state == decisionloop.AttemptStreaming:
		a.forwardData(data)
	case a.isTruncated:
	case !isTooLong && server.hasMemoryFor(len(data)):
		a.buffer(data)
	case a.status != http.StatusOK:
		a.truncate(data)
	case !isPrefill && !a.exchange.apiRequest.NeedsResponseCheck():
		a.startStream(data)
	case isTooLong:
		// The connection may have accepted a body of this length: its own limit is not maxPrefillResponseBytes, and
		// a reload may have lowered MaxResponseBytes after the head arrived.
		a.finish(control.Failed, false)
	default: // the engine has executed the request and is not at fault
		a.finish(control.ResponseDropped, false)
	}
}

// buffer appends data to the buffered part of the response body.
func (a *attempt) buffer(data []byte) {
	a.buffered = append(a.buffered, data...)
	a.exchange.pool.server.bufferedBytes += int64(len(data))
}

// truncate buffers as much of data as fits, and makes Data discard what follows.
func (a *attempt) truncate(data []byte) {
	free := maxBufferedBytes - a.exchange.pool.server.bufferedBytes
	fits := min(int64(len(data)), int64(a.bufferLimit()-len(a.buffered)), free)
	a.buffer(data[:max(fits, 0)])
	a.isTruncated = true
}

// bufferLimit returns the limit on the buffered part of the response body, in bytes.
func (a *attempt) bufferLimit() int {
	limits := &a.exchange.pool.server.config.Limits
	apiRequest := a.exchange.apiRequest
	switch {
	case a.status != http.StatusOK:
		return maxErrorResponseBytes
	case a.role == control.RolePrefill:
		return maxPrefillResponseBytes
	case apiRequest.Stream:
		return 0
	case apiRequest.NeedsResponseCheck(): // the check needs the whole body
		return int(limits.MaxResponseBytes)
	}
	return limits.MaxRetryBufferBytes
}

// Complete implements upstream.ResponseHandler. It ends the attempt according to its response.
func (a *attempt) Complete() {
	a.conn = nil
	switch {
	case a.status != http.StatusOK:
		a.finishByStatus()
	case a.role == control.RolePrefill:
		a.finishPrefill()
	case a.state == decisionloop.AttemptStreaming:
		a.finish(control.OK, true)
	case a.exchange.apiRequest.Stream: // the stream had no event
		a.finish(control.Failed, false)
	default:
		a.finishBufferedAnswer()
	}
}

// finishPrefill ends an attempt on a prefill engine. It stores the response's kv_transfer_params, which tell a decode
// engine where to fetch the KV state. A response without them counts as a failure of the engine.
func (a *attempt) finishPrefill() {
	exchange := a.exchange
	response, hasKVTransfer := openai.ParsePrefillResponse(a.buffered)
	if !hasKVTransfer {
		exchange.pool.server.log.Warn().Str("endpoint", a.engine.endpoint.Name).Msg("prefill response without kv_transfer_params")
		a.finish(control.Failed, false)
		return
	}
	exchange.pool.tokenEstimator.Observe(exchange.apiRequest.PromptTokens, openai.ParsePromptTokens(a.buffered))
	exchange.kvTransfer = response.KVTransfer
	exchange.kvHolders = append(exchange.kvHolders, a.engine)
	a.cachedTokens = uint32(response.CachedTokens)
	a.finish(control.PrefillDone, false)
}

// finishBufferedAnswer ends an attempt whose answer is completely buffered. An invalid answer counts as a failure of
// the engine.
func (a *attempt) finishBufferedAnswer() {
	exchange := a.exchange
	err := exchange.apiRequest.CheckResponse(a.buffered)
	if err != nil {
		exchange.pool.server.log.Warn().Str("endpoint", a.engine.endpoint.Name).Err(err).Msg("invalid answer")
		a.finish(control.Failed, false)
		return
	}
	exchange.kvHolders = nil
	if !exchange.apiRequest.NeedsResponseCheck() { // searching a long checked response for its usage would be slow
		exchange.pool.tokenEstimator.Observe(exchange.apiRequest.PromptTokens, openai.ParsePromptTokens(a.buffered))
	}
	exchange.setAnswer(a, outcome.Served)
	a.finish(control.OK, true)
}

// finishByStatus ends an attempt whose response status is not 200.
func (a *attempt) finishByStatus() {
	switch {
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		a.finish(control.Rejected, false)
	case a.status == statusKVMissing:
		a.kvMissing = true
		a.finish(control.Rejected, false)
	case a.status >= http.StatusInternalServerError || a.status == http.StatusRequestTimeout || a.status < http.StatusBadRequest:
		a.finish(control.Failed, false)
	default: // the request is invalid, so a retry on another engine would fail too
		a.exchange.setAnswer(a, outcome.InvalidRequest)
		a.finish(control.OK, true)
	}
}

// Failed implements upstream.ResponseHandler. It ends an attempt whose connection could not be established, or was lost
// before the response was complete.
func (a *attempt) Failed(connError upstream.ConnError) {
	a.conn = nil
	if connError.Malformed != "" {
		a.exchange.pool.server.log.Warn().Str("endpoint", a.engine.endpoint.Name).Str("reason", connError.Malformed).Msg("malformed response")
	}
	if !connError.Established {
		a.finish(control.ConnectFailed, false)
		return
	}
	a.finish(control.Reset, a.state == decisionloop.AttemptStreaming)
}
