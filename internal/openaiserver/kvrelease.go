package openaiserver

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// kvReleases holds the KV releases that an engine has not confirmed. A release covers all KV state of one request.
type kvReleases struct {
	pending       map[string]time.Duration // time on the loop's clock at which a release times out, by request id
	callScheduled bool                     // a call is scheduled or in flight
	retryTimer    timerwheel.Timer
	retryDelay    time.Duration // from the last failed call to its retry; 0 if the last call succeeded
}

func newKVReleases() kvReleases {
	return kvReleases{pending: map[string]time.Duration{}}
}

const (
	minKVReleaseRetryDelay = 50 * time.Millisecond  // after the first failure; doubled after each further failure
	maxKVReleaseRetryDelay = 500 * time.Millisecond // limits how long a recovered engine retains unused KV state
	kvReleaseCallTimeout   = 250 * time.Millisecond
	kvReleaseTimeout       = time.Minute // later the engine's own retention limit releases the KV state
	maxPendingKVReleases   = 10000       // per engine; limits memory while the engine can't be reached
	maxKVReleasesPerCall   = 500         // limits the body of a call
)

// releaseKV makes the engine abort the request if it is running there, and release its KV state. Failed calls are
// retried until the engine confirms the release or the release times out.
func (e *engine) releaseKV(requestID string) {
	if len(e.releases.pending) >= maxPendingKVReleases {
		e.server.log.Warn().Str("endpoint", e.endpoint.Name).Msg("KV release dropped, too many are pending")
		return
	}
	e.releases.pending[requestID] = e.server.loop.Now() + kvReleaseTimeout
	e.scheduleKVReleaseCall()
}

// scheduleKVReleaseCall schedules a call at the end of this event loop iteration, unless a call is scheduled or in
// flight, or will be retried.
func (e *engine) scheduleKVReleaseCall() {
	if e.releases.callScheduled || e.releases.retryTimer.Running() {
		return
	}
	e.releases.callScheduled = true
	e.server.loop.Defer(e.startKVReleaseCall)
}

// startKVReleaseCall starts a call for the pending releases, if any.
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
	}.Start(&e.ConnPool)
}

// nextKVReleases returns the request ids for the next call, and deletes the releases that have timed out.
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

// kvReleaseBody returns the body of a call that releases the KV state of the given requests.
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

// completeKVReleaseCall processes the result of a call. isConfirmed reports whether the engine has confirmed the
// releases. Otherwise they stay pending and a retry is scheduled.
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
