package openaiserver

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// kvReleases holds the KV releases that an engine has not confirmed. A release names a request; it covers every KV
// state of that request.
type kvReleases struct {
	pending       map[string]time.Duration // loop time at which a release times out, by request id
	callScheduled bool                     // a call is scheduled or in flight
	retryTimer    timerwheel.Timer
	retryDelay    time.Duration // before the next call after a failure; 0 after a success
}

// newKVReleases returns kvReleases without pending ones.
func newKVReleases() kvReleases {
	return kvReleases{pending: map[string]time.Duration{}}
}

// Delays and bounds of KV releases.
const (
	minKVReleaseRetryDelay = 50 * time.Millisecond  // after the first failure; doubled with each further one
	maxKVReleaseRetryDelay = 500 * time.Millisecond // bounds how long an engine that recovers retains KV state for nothing
	kvReleaseCallTimeout   = 250 * time.Millisecond // after that the call has failed
	kvReleaseTimeout       = time.Minute            // after that the engine's own retention limit has to do
	maxPendingKVReleases   = 10000                  // of one engine, which bounds memory while it is out of reach
	maxKVReleasesPerCall   = 500                    // bounds the body of a call
)

// releaseKV has the engine release what it retains for a request or runs for it. If the engine is out of reach, calls
// are retried until it confirms or the release times out.
func (e *engine) releaseKV(requestID string) {
	if len(e.releases.pending) >= maxPendingKVReleases {
		e.server.log.Warn().Str("endpoint", e.endpoint.Name).Msg("KV release dropped, too many are pending")
		return
	}
	e.releases.pending[requestID] = e.server.loop.Now() + kvReleaseTimeout
	e.scheduleKVReleaseCall()
}

// scheduleKVReleaseCall schedules a call at the end of this iteration, unless one is in flight or a retry is
// scheduled.
func (e *engine) scheduleKVReleaseCall() {
	if e.releases.callScheduled || e.releases.retryTimer.Running() {
		return
	}
	e.releases.callScheduled = true
	e.server.loop.Defer(e.startKVReleaseCall)
}

// startKVReleaseCall starts a call for the pending releases.
func (e *engine) startKVReleaseCall() {
	requestIDs := e.nextKVReleases()
	if len(requestIDs) == 0 {
		e.releases.callScheduled = false
		e.removeIfUnused()
		return
	}
	body := kvReleaseBody(requestIDs)
	head := http1.AppendField(e.newRequestHead(http.MethodPost, "/abort_requests"), "Content-Type", contentTypeJSON)
	enginecall.Call{
		Head:    http1.AppendContentLength(head, len(body)),
		Body:    body,
		Timeout: kvReleaseCallTimeout,
		OnDone: func(result enginecall.Result) {
			isConfirmed := result.Outcome == enginecall.Responded && result.Status == http.StatusOK
			e.completeKVReleaseCall(requestIDs, isConfirmed)
		},
	}.Start(&e.Pool)
}

// nextKVReleases returns the request ids for the next call. It drops releases that have timed out.
func (e *engine) nextKVReleases() (requestIDs []string) {
	now := e.server.loop.Now()
	for requestID, deadline := range e.releases.pending {
		if now > deadline {
			e.server.log.Warn().Str("endpoint", e.endpoint.Name).Str("request_id", requestID).Msg("KV release timed out")
			delete(e.releases.pending, requestID)
		} else if len(requestIDs) < maxKVReleasesPerCall {
			requestIDs = append(requestIDs, requestID)
		}
	}
	return requestIDs
}

// kvReleaseBody returns the body of a call that releases the KV states of requests.
func kvReleaseBody(requestIDs []string) []byte {
	body := []byte(`{"request_ids":[`)
	for i, requestID := range requestIDs {
		if i > 0 {
			body = append(body, ',')
		}
		body = gjson.AppendJSONString(body, requestID)
	}
	return append(body, "]}"...)
}

// completeKVReleaseCall processes the result of a call. After a failure the same releases are due again.
func (e *engine) completeKVReleaseCall(requestIDs []string, isConfirmed bool) {
	releases := &e.releases
	releases.callScheduled = false
	if !isConfirmed {
		releases.retryDelay = min(max(2*releases.retryDelay, minKVReleaseRetryDelay), maxKVReleaseRetryDelay)
		releases.retryTimer.Fire = e.scheduleKVReleaseCall
		e.server.loop.StartTimer(&releases.retryTimer, releases.retryDelay)
		return
	}
	releases.retryDelay = 0
	for _, requestID := range requestIDs {
		delete(releases.pending, requestID)
	}
	if len(releases.pending) > 0 {
		e.scheduleKVReleaseCall()
	}
	e.removeIfUnused()
}
