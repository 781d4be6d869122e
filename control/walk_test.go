package control_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/kvrelease"
	"martenlock/control/membership"
	"martenlock/internal/proptest"
)

func init() { proptest.SetDefault("rapid.checks", "1500") }

// walker plays any events in any order to the pure modules together, and checks what they do against the
// service's five rules.
type walker struct {
	t        *rapid.T
	now      control.Time
	settings control.Settings
	router   *control.Router
	table    membership.View
	releases *kvrelease.Scheduler
	calls    []kvrelease.Call
	revision uint64
	lastID   control.RequestID
	listed   map[control.EndpointID]membership.Endpoint // as service discovery has it
	known    map[control.EndpointID]control.EndpointState
	requests map[control.RequestID]*walkedRequest
}

// walkedRequest is a request as the world outside sees it.
type walkedRequest struct {
	control.Request
	answered, clientGone, attemptInFlight, hasFirstToken bool
	attempts                                             int
	endpoint                                             control.EndpointID
	executedAt                                           control.Time // start of the first attempt that may have had its effect; 0 for none
	executedOn                                           control.Endpoint
	sentAt                                               control.Time
	retained                                             bool

	arrived        bool         // the attempt in flight has reached its engine; the router can't see it
	waitsSince     control.Time // an engine retains KV state that no attempt has used since then; 0 for none
	releaseAskedAt control.Time // of that state; 0 for never
}

// latestAttempt returns the number of the latest attempt.
func (r *walkedRequest) latestAttempt() control.AttemptNumber {
	return control.AttemptNumber(r.attempts - 1)
}

// retainKV takes in that an engine retains KV state from now on, or goes on doing so after the attempt that had
// reached its engine.
func (r *walkedRequest) retainKV(now control.Time) {
	r.waitsSince = now
	r.releaseAskedAt = 0
}

// mayBeRetained tells whether an engine may retain KV state that no attempt has reached its engine for.
func (r *walkedRequest) mayBeRetained() bool {
	return r.waitsSince != 0 && !(r.attemptInFlight && r.arrived)
}

// class is the class of a request.
func (w *walker) class(request *walkedRequest) *control.Class {
	return &w.settings.Classes[request.Class]
}

// handle gives events to the module and carries out its actions.
func (w *walker) handle(events ...control.Event) {
	for _, a := range w.router.Handle(w.now, events) {
		switch a := a.(type) {
		case control.Forward:
			w.checkForward(a)
		case control.Reject:
			request := w.finish(a.ID)
			if c := w.class(request); request.executedAt != 0 && (c.Idempotency == control.NotIdempotent || c.Idempotency == control.IdempotentWithKey && c.DedupScope != control.DedupScopeAll) {
				w.t.Fatalf("request %d rejected though it may have been executed", a.ID)
			}
		case control.Fail:
			w.finish(a.ID)
		case control.ReleaseKV:
			if request := w.requests[a.ID]; request != nil && request.retained {
				w.releases.Enqueue(w.now, fmt.Sprint(a.ID))
				if request.mayBeRetained() && request.releaseAskedAt == 0 {
					request.releaseAskedAt = w.now
				}
			}
		case control.CancelAttempt:
			if request := w.requests[a.ID]; request.attemptInFlight && !request.hasFirstToken && request.latestAttempt() == a.Attempt {
				w.endAttempt(request, control.Cancelled)
			}
		}
	}
}

// finish takes in a final answer.
func (w *walker) finish(id control.RequestID) *walkedRequest {
	request := w.requests[id]
	if request == nil || request.answered || request.clientGone || request.attemptInFlight {
		w.t.Fatalf("an answer for request %d: %+v", id, request)
	}
	if w.now > request.Deadline.Add(w.settings.Limits.AnswerGrace+50*time.Millisecond) {
		w.t.Fatalf("request %d answered %v late", id, w.now.Sub(request.Deadline))
	}
	request.answered = true
	return request
}

// checkForward takes in an attempt, and checks that it may be made.
func (w *walker) checkForward(a control.Forward) {
	request, s := w.requests[a.ID], w.listed[a.Endpoint]
	known, _ := w.table.Get(a.Endpoint)
	switch {
	case request == nil || request.answered || request.clientGone || request.hasFirstToken:
		w.t.Fatalf("request %d forwarded though nobody waits: %+v", a.ID, request)
	case request.attemptInFlight:
		w.t.Fatalf("request %d has two attempts in flight", a.ID)
	case w.known[a.Endpoint] != control.Ready:
		w.t.Fatalf("request %d forwarded to endpoint %d, which is not ready", a.ID, a.Endpoint)
	case request.attempts >= w.settings.Limits.MaxAttempts:
		w.t.Fatalf("request %d: attempt %d", a.ID, request.attempts)
	case w.now >= request.Deadline:
		w.t.Fatalf("request %d forwarded after its deadline", a.ID)
	}
	if c := w.class(request); request.executedAt != 0 && w.settings.Engines.Kinds[s.Kind].Role != control.RolePrefill {
		scope := c.DedupScope == control.DedupScopeAll || c.DedupScope == control.DedupScopeZone && known.Zone == request.executedOn.Zone || c.DedupScope == control.DedupScopeCell && known.Cell == request.executedOn.Cell
		if c.Idempotency == control.NotIdempotent || c.Idempotency == control.IdempotentWithKey && (!scope || w.now.Sub(request.executedAt) >= c.DedupWindow) {
			w.t.Fatalf("request %d, %v, forwarded again", a.ID, c.Idempotency)
		}
	}
	request.attemptInFlight, request.endpoint, request.sentAt = true, a.Endpoint, w.now
	if w.settings.Engines.Kinds[s.Kind].Role == control.RoleDecode && w.releases.Withdraw(fmt.Sprint(a.ID)) {
		request.retained = true
		request.releaseAskedAt = 0
	}
	isHeld := w.releases.IsPending(fmt.Sprint(a.ID)) // until the release is confirmed, which the walk leaves out
	request.arrived = !isHeld && rapid.IntRange(0, 3).Draw(w.t, "arrives") > 0
	request.attempts++
}

// endAttempt ends an attempt, and tells the module.
func (w *walker) endAttempt(request *walkedRequest, result control.Result) {
	role := w.settings.Engines.Kinds[w.listed[request.endpoint].Kind].Role
	final := request.hasFirstToken || request.clientGone
	switch {
	case !request.arrived && result != control.TimedOut && result != control.Cancelled && result != control.ConnectFailed:
		result = control.Reset // nobody has answered
	case request.arrived && result == control.ConnectFailed:
		result = control.Rejected
	}
	switch {
	case role == control.RolePrefill && result == control.OK:
		result = control.PrefillDone
	case role != control.RolePrefill && result == control.PrefillDone:
		result = control.OK
	}
	if result == control.OK {
		request.answered, final = true, true
	}
	ran := result.MayHaveExecuted()
	if ran && role != control.RolePrefill && request.executedAt == 0 {
		request.executedAt, request.executedOn = request.sentAt, w.listed[request.endpoint].Endpoint
	}
	request.retained = request.retained || ran || result == control.PrefillDone
	request.attemptInFlight = false
	w.endRetention(request, role, result)
	if request.hasFirstToken {
		request.answered = true
	}
	w.handle(control.Outcome{ID: request.ID, Attempt: request.latestAttempt(), Endpoint: request.endpoint, Result: result, Elapsed: w.now.Sub(request.sentAt), Final: final})
	if final && request.retained {
		w.releases.Enqueue(w.now, fmt.Sprint(request.ID))
	}
}

// endRetention takes in what the end of an attempt makes of the KV state, as the world outside sees it.
func (w *walker) endRetention(request *walkedRequest, role control.Role, result control.Result) {
	isGone := request.releaseAskedAt != 0 && request.releaseAskedAt <= request.sentAt
	switch {
	case result == control.OK || request.hasFirstToken:
		request.waitsSince = 0
	case result == control.PrefillDone:
		request.retainKV(w.now)
	case request.arrived && role == control.RolePrefill && result.MayHaveExecuted():
		request.retainKV(w.now) // it may have ended well just as its connection broke
	case request.arrived && request.waitsSince != 0 && !isGone:
		request.retainKV(w.now) // another attempt can use it
	}
}

// checkRetention checks that the release of each KV state was asked for within the retention limit.
func (w *walker) checkRetention() {
	limit := w.settings.Limits.KVRetentionLimit
	if !w.settings.Caller.ReleaseSparesAttempts || limit <= 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		request := w.requests[id]
		if request.mayBeRetained() && request.releaseAskedAt == 0 && w.now.Sub(request.waitsSince) > limit {
			w.t.Fatalf("request %d: KV state retained for %v, and no release asked for: %+v", id, w.now.Sub(request.waitsSince), request)
		}
	}
}

func (w *walker) updateEndpoints(change membership.Change) {
	if change.IsEmpty() {
		return
	}
	ev := change.EndpointUpdate
	listed := map[control.EndpointID]bool{}
	for _, s := range ev.Endpoints {
		w.known[s.ID], listed[s.ID] = s.State, true
	}
	for id := range w.known {
		if ev.Full && !listed[id] {
			w.known[id] = control.Gone
		}
	}
	w.handle(ev)
	var ready []control.EndpointID
	for id, state := range w.known {
		if state == control.Ready {
			ready = append(ready, id)
		}
	}
	w.releases.SetEndpoints(ready)
}

// advance lets time pass; the module looks each 50 ms, as it asks.
func (w *walker) advance(d time.Duration) {
	for ; d > 50*time.Millisecond; d -= 50 * time.Millisecond {
		w.step(50 * time.Millisecond)
	}
	w.step(d)
}

func (w *walker) step(d time.Duration) {
	w.now = w.now.Add(d)
	w.updateEndpoints(w.table.Poll(w.now))
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if request := w.requests[id]; request.attemptInFlight && !request.hasFirstToken && w.now >= request.Deadline {
			w.endAttempt(request, control.TimedOut)
		}
	}
	w.handle(control.Timer{})
	w.checkRetention()
	w.calls = append(w.calls, w.releases.Poll(w.now)...)
}

func (w *walker) pick(ok func(*walkedRequest) bool) *walkedRequest {
	var some []control.RequestID
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if ok(w.requests[id]) {
			some = append(some, id)
		}
	}
	if len(some) == 0 {
		w.t.Skip("none")
	}
	return w.requests[rapid.SampledFrom(some).Draw(w.t, "request")]
}

// walkedEngines is how many engines are listed at first, a third of each role.
const walkedEngines = 8

// newWalker returns a walker with random settings, whose router knows all engines.
func newWalker(t *rapid.T) *walker {
	w := &walker{
		t: t, now: control.Time(time.Hour.Microseconds()), requests: map[control.RequestID]*walkedRequest{}, known: map[control.EndpointID]control.EndpointState{},
		listed: map[control.EndpointID]membership.Endpoint{},
	}
	w.settings = walkedSettings(t)
	w.router, w.releases = control.New(w.settings, w.now), kvrelease.NewScheduler(w.settings.Limits.KVRetentionLimit)
	for id := control.EndpointID(1); id <= walkedEngines; id++ {
		w.listed[id] = w.endpoint(id)
	}
	w.apply(membership.Update{Revision: 1, Complete: true, Endpoints: w.listedEndpoints()})
	w.revision = 1
	return w
}

// walkedSettings draws settings with a class of each kind of idempotency and each scope.
func walkedSettings(t *rapid.T) control.Settings {
	const ms = time.Millisecond
	settings := control.Settings{
		Identity: control.RouterIdentity{Seed: uint64(rapid.IntRange(1, 1000).Draw(t, "seed")), Routers: 1},
		Engines: control.EngineSettings{
			Kinds: []control.EngineKind{{Role: control.RolePrefill}, {Role: control.RoleDecode}, {Role: control.RoleColocated}},
		},
	}
	settings.Caller = control.Capabilities{CanCancel: true, CanHealthCheck: rapid.Bool().Draw(t, "probes")}
	settings.Limits = control.Limits{
		MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"), MaxRetryAfter: time.Second, ConnectTimeout: 250 * ms, AnswerGrace: 8 * ms,
	}
	settings.Caller.ReleaseSparesAttempts = rapid.Bool().Draw(t, "spares")
	settings.Limits.KVRetentionLimit = time.Duration(rapid.SampledFrom([]int{0, 200, 500}).Draw(t, "pin")) * ms
	settings.SlowStart = control.SlowStart{
		InitialShare: 0.35, Duration: 3 * time.Second, OverloadMultiple: 2.5, OverloadDuration: time.Second,
	}
	for _, effect := range []control.Idempotency{control.Idempotent, control.NotIdempotent, control.IdempotentWithKey, control.IdempotentWithKey, control.IdempotentWithKey} {
		c := control.Class{TTFTObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: effect, DedupWindow: 400 * ms}
		c.DedupScope = control.DedupScope(max(len(settings.Classes)-2, 0))
		settings.Classes = append(settings.Classes, c)
	}
	return settings
}

// endpoint is an engine as it is listed, ready where it is not.
func (w *walker) endpoint(id control.EndpointID) membership.Endpoint {
	state, startedAt := control.Ready, control.Time(0)
	if listed, ok := w.listed[id]; ok {
		state, startedAt = listed.State, listed.StartedAt
	}
	return membership.Endpoint{Addr: netip.MustParseAddrPort("127.0.0.1:80"), Endpoint: control.Endpoint{ID: id, Kind: int(id) % 3, Cell: uint16(id % 2), Zone: uint16(id % 4 / 2), Weight: 1, StartedAt: startedAt, State: state}}
}

// listedEndpoints are the engines that are listed and not gone.
func (w *walker) listedEndpoints() (l []membership.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(w.listed)) {
		if w.listed[id].State != control.Gone {
			l = append(l, w.listed[id])
		}
	}
	return l
}

// apply has the router's list updated.
func (w *walker) apply(update membership.Update) {
	change, err := w.table.Apply(w.now, update)
	if err != nil {
		w.t.Fatal(err)
	}
	w.updateEndpoints(change)
}

// ask adds a request whose client waits for so long.
func (w *walker) ask(class int, patience time.Duration) {
	w.lastID++
	request := &walkedRequest{Request: control.Request{
		ID: w.lastID, Class: class, SessionID: uint64(rapid.IntRange(0, 5).Draw(w.t, "session")), PrefixHash: uint64(rapid.IntRange(0, 3).Draw(w.t, "prefix")),
		PromptTokens: 1000, MaxTokens: 100, Deadline: w.now.Add(patience),
	}}
	w.requests[request.ID] = request
	w.handle(request.Request)
}

// walkedResults are the results of attempts that are drawn.
var walkedResults = []control.Result{control.OK, control.PrefillDone, control.Failed, control.Rejected, control.TimedOut, control.ConnectFailed, control.Reset}

// TestNoAttemptKeepsKVStatePastTheLimit plays requests whose attempts end at random times in random ways, of which
// many never reach an engine: whatever the router can't see, it asks for the release of each KV state that
// nobody uses within the retention limit.
func TestNoAttemptKeepsKVStatePastTheLimit(t *testing.T) {
	const ms = time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := newWalker(t)
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			w.ask(rapid.IntRange(0, 4).Draw(t, "class"), 3*time.Second)
		}
		for range 60 {
			w.step(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * ms)
			for _, id := range slices.Sorted(maps.Keys(w.requests)) {
				request := w.requests[id]
				isPrefill := request.attemptInFlight && w.settings.Engines.Kinds[w.listed[request.endpoint].Kind].Role == control.RolePrefill
				isDue := rapid.IntRange(0, 9).Draw(t, "due") == 0 || isPrefill && rapid.Bool().Draw(t, "prefilled")
				if !request.attemptInFlight || !isDue {
					continue
				}
				result := control.PrefillDone
				if !isPrefill || rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					result = rapid.SampledFrom(walkedResults).Draw(t, "result")
				}
				w.endAttempt(request, result)
			}
		}
	})
}

// TestRandomEventsKeepTheRules plays random events; rapid shrinks what breaks a rule to a short script.
// In the end every request has its one answer and every table is empty.
func TestRandomEventsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ms = time.Millisecond
		w := newWalker(t)
		server := func(t *rapid.T) membership.Endpoint {
			return w.endpoint(control.EndpointID(rapid.IntRange(1, walkedEngines).Draw(t, "server")))
		}
		all, apply := w.listedEndpoints, w.apply
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				w.ask(rapid.IntRange(0, 4).Draw(t, "class"), time.Duration(rapid.IntRange(20, 3000).Draw(t, "patience"))*ms)
			},
			"outcome": func(t *rapid.T) {
				request := w.pick(func(request *walkedRequest) bool { return request.attemptInFlight })
				result := rapid.SampledFrom(walkedResults).Draw(t, "result")
				if request.hasFirstToken && result != control.OK {
					result = control.Reset
				}
				w.endAttempt(request, result)
			},
			"starts": func(t *rapid.T) {
				request := w.pick(func(request *walkedRequest) bool {
					return request.attemptInFlight && request.arrived && !request.hasFirstToken && !request.clientGone && w.settings.Engines.Kinds[w.listed[request.endpoint].Kind].Role != control.RolePrefill
				})
				request.hasFirstToken = true
				w.handle(control.AnswerStarted{ID: request.ID, Endpoint: request.endpoint, Attempt: request.latestAttempt(), Elapsed: w.now.Sub(request.sentAt)})
			},
			"leaves": func(t *rapid.T) {
				request := w.pick(func(request *walkedRequest) bool { return !request.answered && !request.clientGone })
				request.clientGone = true
				w.handle(control.ClientGone{ID: request.ID})
			},
			"time": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * ms) },
			"change": func(t *rapid.T) {
				s := server(t)
				if s.State = control.EndpointState(rapid.IntRange(0, 2).Draw(t, "state")); s.State == control.Ready && rapid.Bool().Draw(t, "anew") {
					s.StartedAt = w.now
				}
				w.listed[s.ID] = s
				w.revision++
				apply(membership.Update{Revision: w.revision, Endpoints: []membership.Endpoint{s}})
			},
			"whole": func(t *rapid.T) {
				w.revision++
				apply(membership.Update{Revision: w.revision, Complete: true, Endpoints: all()})
			},
			"old": func(t *rapid.T) {
				apply(membership.Update{Revision: w.revision - min(w.revision, uint64(rapid.IntRange(1, 3).Draw(t, "by"))), Complete: rapid.Bool().Draw(t, "complete"), Endpoints: []membership.Endpoint{server(t)}})
			},
			"let go": func(t *rapid.T) {
				if len(w.calls) == 0 {
					t.Skip("none")
				}
				a := w.calls[0]
				w.calls = w.calls[1:]
				w.releases.Complete(w.now, a, rapid.Bool().Draw(t, "ok"))
			},
			"": func(t *rapid.T) {
				if n := len(w.calls); n > 24 {
					t.Fatalf("%d calls in flight", n)
				}
			},
		})
		for _, id := range slices.Sorted(maps.Keys(w.requests)) {
			if request := w.requests[id]; request.attemptInFlight {
				w.endAttempt(request, control.Reset)
			}
		}
		for range 80 {
			w.advance(50 * ms)
			for _, id := range slices.Sorted(maps.Keys(w.requests)) {
				if request := w.requests[id]; request.attemptInFlight {
					w.endAttempt(request, control.Reset)
				}
			}
		}
		for _, request := range w.requests {
			if !request.answered && !request.clientGone {
				t.Fatalf("request %d has no answer", request.ID)
			}
		}
		apply(membership.Update{Revision: w.revision + 1, Complete: true, Endpoints: []membership.Endpoint{{Addr: netip.MustParseAddrPort("127.0.0.1:80"), Endpoint: control.Endpoint{ID: 9, State: control.Ready, Weight: 1}}}})
		for range 70 {
			w.advance(time.Second)
			for _, a := range w.calls {
				w.releases.Complete(w.now, a, true)
			}
			w.calls = nil
		}
		if n := w.router.EntryCount(); n != 0 || w.releases.Len() != 0 {
			t.Fatalf("%d entries remain, %d KV states to release", n, w.releases.Len())
		}
	})
}
