package openaiserver

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// kvReleases are the KV states that an engine is to release, by the ids of their requests.
type kvReleases struct {
	pending       map[string]time.Duration // until when the engine is told
	callScheduled bool                     // or in flight
	retryTimer    timerwheel.Timer
	retryDelay    time.Duration // before the next call; 0 after a success
}

// newKVReleases returns one without pending releases.
func newKVReleases() kvReleases {
	return kvReleases{pending: map[string]time.Duration{}}
}

// Calls for KV releases.
const (
	minKVReleaseRetryDelay = 50 * time.Millisecond  // after the first failure; doubled with each further one
	maxKVReleaseRetryDelay = 500 * time.Millisecond // a link that heals is noticed this soon
	kvReleaseCallTimeout   = 250 * time.Millisecond
	kvReleaseTimeout       = time.Minute // then the engine's own limit has to do it
	maxPendingKVReleases   = 10000       // of one engine
	maxKVReleasesPerCall   = 500
)

// releaseKV has the engine release what it retains or runs for a request. An engine that can't be
// told, behind a cut link for one, is told as soon as it can be.
func (e *engine) releaseKV(requestID string) {
	if len(e.releases.pending) >= maxPendingKVReleases {
		e.server.log.Warn().Str("endpoint", e.node.Name).Msg("KV release dropped, too many are pending")
		return
	}
	e.releases.pending[requestID] = e.server.loop.Now() + kvReleaseTimeout
	e.scheduleKVReleaseCall()
}

// scheduleKVReleaseCall makes a call at the end of this iteration, unless one is in flight or
// waits for its retry.
func (e *engine) scheduleKVReleaseCall() {
	if e.releases.callScheduled || e.releases.retryTimer.Running() {
		return
	}
	e.releases.callScheduled = true
	e.server.loop.Defer(e.startKVReleaseCall)
}

// startKVReleaseCall makes a call for what is pending.
func (e *engine) startKVReleaseCall() {
	requestIDs := e.takeDueKVReleases()
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
		OnDone: func(call enginecall.Result) {
			isReleased := call.Outcome == enginecall.Responded && call.Status == http.StatusOK
			e.completeKVReleaseCall(requestIDs, isReleased)
		},
	}.Start(&e.Pool)
}

// takeDueKVReleases returns the ids for the next call, and gives up those that are too old.
func (e *engine) takeDueKVReleases() (requestIDs []string) {
	now := e.server.loop.Now()
	for requestID, deadline := range e.releases.pending {
		if now > deadline {
			e.server.log.Warn().Str("endpoint", e.node.Name).Str("request_id", requestID).Msg("KV release timed out")
			delete(e.releases.pending, requestID)
		} else if len(requestIDs) < maxKVReleasesPerCall {
			requestIDs = append(requestIDs, requestID)
		}
	}
	return requestIDs
}

// kvReleaseBody returns the body of a call.
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

// completeKVReleaseCall takes in how a call ended.
func (e *engine) completeKVReleaseCall(requestIDs []string, isReleased bool) {
	releases := &e.releases
	releases.callScheduled = false
	if !isReleased {
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
