package control

import (
	"testing"
	"time"
)

// harness drives a Router through its public interface on a virtual clock. It records all actions.
type harness struct {
	t       *testing.T
	router  *Router
	now     Time
	actions []Action
}

const ms = time.Millisecond

// The classes of testSettings.
const (
	classIdempotent = iota
	classNotIdempotent
	classWithKey // deduplicated in a cell for 1 s
)

// testSettings returns settings with an engine kind for each role, whose index is the role, and with a class
// for each kind of idempotency.
func testSettings() Settings {
	return Settings{
		Identity: RouterIdentity{Seed: 1, Routers: 1},
		Engines: EngineSettings{Kinds: []EngineKind{
			RolePrefill:   {Role: RolePrefill},
			RoleDecode:    {Role: RoleDecode},
			RoleColocated: {Role: RoleColocated},
		}},
		Caller: Capabilities{CanCancel: true},
		Limits: Limits{
			MaxAttempts:      5,
			MaxRetryAfter:    time.Second,
			KVRetentionLimit: 500 * ms,
			DrainGrace:       250 * ms,
			AnswerGrace:      8 * ms,
		},
		SlowStart: SlowStart{
			InitialShare:     0.25,
			Duration:         10 * time.Second,
			OverloadMultiple: 2.5,
			OverloadDuration: time.Second,
		},
		Classes: []Class{
			classIdempotent:    testClass(Idempotent),
			classNotIdempotent: testClass(NotIdempotent),
			classWithKey:       testClass(IdempotentWithKey),
		},
	}
}

// testClass returns a class whose objective is long compared with the times in most tests.
func testClass(idempotency Idempotency) Class {
	class := Class{TTFTObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: idempotency}
	if idempotency == IdempotentWithKey {
		class.DedupScope, class.DedupWindow = DedupScopeCell, time.Second
	}
	return class
}

// startRouter starts a router with one endpoint for each of the roles. Their ids are 1, 2 and so on.
func startRouter(t *testing.T, settings Settings, roles ...Role) *harness {
	t.Helper()
	h := &harness{t: t, router: New(settings, 1e6), now: 1e6}
	var list []Endpoint
	for i, role := range roles {
		list = append(list, Endpoint{ID: EndpointID(i + 1), State: Ready, Kind: int(role), Weight: 1})
	}
	h.handle(0, EndpointUpdate{Endpoints: list, Full: true})
	return h
}

// handle advances the clock, passes events to the router and returns its actions.
func (h *harness) handle(after time.Duration, events ...Event) []Action {
	h.now = h.now.Add(after)
	actions := h.router.Handle(h.now, events)
	h.actions = append(h.actions, actions...)
	return actions
}

// ticks advances the clock by a duration, rounded up to whole ticks, with a Timer event at each tick. It
// returns all actions.
func (h *harness) ticks(duration time.Duration) (actions []Action) {
	for ; duration > 0; duration -= tickInterval {
		actions = append(actions, h.handle(tickInterval, Timer{})...)
	}
	return actions
}

// request returns a request with its own session.
func (h *harness) request(id RequestID, class int) Request {
	return Request{
		ID: id, Class: class, SessionID: uint64(id), PromptTokens: 1000, MaxTokens: 100,
		Deadline: h.now.Add(4 * time.Second),
	}
}

// arrive advances the clock and passes a request, which must be forwarded at once. It returns the Forward.
func (h *harness) arrive(after time.Duration, request Request) Forward {
	h.t.Helper()
	return h.onlyForward(h.handle(after, request))
}

// arriveAndPrefill is like arrive, but also completes the prefill. It returns the Forward to a decode engine.
func (h *harness) arriveAndPrefill(after time.Duration, request Request) Forward {
	h.t.Helper()
	return h.onlyForward(h.finishPrefill(h.arrive(after, request), 0))
}

// finishPrefill completes a prefill after 20 ms.
func (h *harness) finishPrefill(forward Forward, attempt AttemptNumber) []Action {
	return h.end(20*ms, forward, attempt, PrefillDone)
}

// startAnswer advances the clock and starts the answer of a decode attempt, which must be the second attempt
// of its request.
func (h *harness) startAnswer(after time.Duration, decode Forward) {
	h.handle(after, AnswerStarted{ID: decode.ID, Endpoint: decode.Endpoint, Attempt: 1, Elapsed: after})
}

// answer advances the clock and ends an attempt with a whole answer.
func (h *harness) answer(after time.Duration, forward Forward, attempt AttemptNumber) []Action {
	return h.handle(after, Outcome{
		ID: forward.ID, Attempt: attempt, Endpoint: forward.Endpoint, Result: OK, Elapsed: after, Final: true,
	})
}

// end advances the clock and ends an attempt with a result that does not end its request.
func (h *harness) end(after time.Duration, forward Forward, attempt AttemptNumber, result Result) []Action {
	return h.handle(after, Outcome{
		ID: forward.ID, Attempt: attempt, Endpoint: forward.Endpoint, Result: result, Elapsed: after,
	})
}

// onlyForward returns the Forward among the actions. It fails the test unless there is exactly one.
func (h *harness) onlyForward(actions []Action) Forward {
	h.t.Helper()
	forwards := actionsOf[Forward](actions)
	if len(forwards) != 1 {
		h.t.Fatalf("want one Forward, got %d in %v", len(forwards), actions)
	}
	return forwards[0]
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) (list []T) {
	for _, action := range actions {
		if action, ok := action.(T); ok {
			list = append(list, action)
		}
	}
	return list
}

// count returns the number of actions of one type.
func count[T Action](actions []Action) int { return len(actionsOf[T](actions)) }

// startRouters starts the routers of one service. They have the same endpoint list and different seeds.
func startRouters(t *testing.T, routers int, settings Settings, list []Endpoint) (all []*harness) {
	t.Helper()
	for i := range routers {
		settings.Identity.Seed, settings.Identity.Rank, settings.Identity.Routers = uint64(i+1), i, routers
		h := startRouter(t, settings)
		h.handle(0, EndpointUpdate{Endpoints: list, Full: true})
		all = append(all, h)
	}
	return all
}

// testEndpoints returns a number of ready endpoints for each role in turn, with ids from 1. The id modulo 8
// is the cell.
func testEndpoints(counts ...int) (list []Endpoint) {
	for role, n := range counts {
		for range n {
			id := EndpointID(len(list) + 1)
			list = append(list, Endpoint{ID: id, State: Ready, Kind: role, Weight: 1, Cell: uint16(id % 8)})
		}
	}
	return list
}

// playRequests passes n requests to each router, in rounds of one request per router, and completes each of
// them. It returns the number of attempts at each endpoint, over all routers.
func playRequests(all []*harness, n int, next func(h *harness, id RequestID) Request) map[EndpointID]int {
	forwards := map[EndpointID]int{}
	id := RequestID(1000)
	for range n {
		for _, h := range all {
			id++
			actions := h.handle(time.Second*time.Duration(len(all))/300, next(h, id), Timer{})
			for attempt := AttemptNumber(0); count[Forward](actions) > 0; attempt++ {
				forward := actionsOf[Forward](actions)[0]
				forwards[forward.Endpoint]++
				if h.router.endpoints.byID[forward.Endpoint].role == RolePrefill {
					actions = h.finishPrefill(forward, attempt)
				} else {
					actions = h.answer(20*ms, forward, attempt)
				}
			}
		}
	}
	return forwards
}
