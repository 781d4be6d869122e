package control

import (
	"testing"
	"time"
)

// script drives a Router through its public interface on a clock of its own and
// keeps what came back.
type script struct {
	t       *testing.T
	router  *Router
	now     Time
	actions []Action
}

// ms is short for the durations of the scripts.
const ms = time.Millisecond

// testSettings has engine kinds of these roles, and classes that are idempotent, not idempotent, and idempotent
// with a key.
func testSettings(roles ...Role) Settings {
	var kinds []EngineKind
	for _, role := range roles {
		kinds = append(kinds, EngineKind{Role: role})
	}
	return Settings{
		Identity: RouterIdentity{Seed: 1, Routers: 1},
		Engines:  EngineSettings{Kinds: kinds},
		Caller:   Capabilities{CanCancel: true},
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
			{TTFTObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 1},
			{TTFTObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: NotIdempotent},
			{TTFTObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell, DedupWindow: time.Second},
		},
	}
}

// startRouter gives a router engines 1, 2, ... of the kinds named, kind i having role i.
func startRouter(t *testing.T, settings Settings, kinds ...int) *script {
	s := &script{t: t, router: New(settings, 1e6), now: 1e6}
	var list []Endpoint
	for i, kind := range kinds {
		list = append(list, Endpoint{ID: EndpointID(i + 1), State: Ready, Kind: kind, Weight: 1})
	}
	s.handle(0, EndpointUpdate{Endpoints: list, Full: true})
	return s
}

// handle hands over events after a while and returns the actions.
func (s *script) handle(after time.Duration, events ...Event) []Action {
	s.now = s.now.Add(after)
	actions := s.router.Handle(s.now, events)
	s.actions = append(s.actions, actions...)
	return actions
}

// ticks lets time pass tick by tick and returns all that was done meanwhile.
func (s *script) ticks(span time.Duration) (actions []Action) {
	for ; span > 0; span -= 50 * ms {
		actions = append(actions, s.handle(50*ms, Timer{})...)
	}
	return actions
}

// request is a request of a session of its own.
func (s *script) request(id RequestID, class int) Request {
	return Request{
		ID: id, Class: class, SessionID: uint64(id), PromptTokens: 1000, MaxTokens: 100,
		Deadline: s.now.Add(4 * time.Second),
	}
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) (list []T) {
	for _, a := range actions {
		if a, ok := a.(T); ok {
			list = append(list, a)
		}
	}
	return list
}

// onlyForward returns the one Forward among the actions.
func (s *script) onlyForward(actions []Action) Forward {
	s.t.Helper()
	forwards := actionsOf[Forward](actions)
	if len(forwards) != 1 {
		s.t.Fatalf("want one Forward, got %v", actions)
	}
	return forwards[0]
}

// finishPrefill ends a prefill well after 20 ms.
func (s *script) finishPrefill(forward Forward, attempt AttemptNumber) []Action {
	return s.handle(20*ms, Outcome{ID: forward.ID, Attempt: attempt, Endpoint: forward.Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
}

// startRouters starts so many routers of one service, which share nothing but the list.
func startRouters(t *testing.T, routers int, settings Settings, list []Endpoint) (all []*script) {
	for i := range routers {
		settings.Identity.Seed, settings.Identity.Rank, settings.Identity.Routers = uint64(i+1), i, routers
		s := startRouter(t, settings)
		s.handle(0, EndpointUpdate{Endpoints: list, Full: true})
		all = append(all, s)
	}
	return all
}

// testEndpoints lists so many of each kind, ids from 1 in order of kind; each two share a cell.
func testEndpoints(counts ...int) (list []Endpoint) {
	for kind, n := range counts {
		for range n {
			id := EndpointID(len(list) + 1)
			list = append(list, Endpoint{ID: id, State: Ready, Kind: kind, Weight: 1, Cell: uint16(id % 8)})
		}
	}
	return list
}

// playRequests gives each router n requests in turn and answers all of them well. It returns what all routers
// together sent to each engine.
func playRequests(all []*script, n int, ask func(s *script, id RequestID) Request) map[EndpointID]int {
	forwards := map[EndpointID]int{}
	id := RequestID(1000)
	for range n {
		for _, s := range all {
			id++
			actions := s.handle(time.Second*time.Duration(len(all))/300, ask(s, id), Timer{})
			for attempt := AttemptNumber(0); len(actionsOf[Forward](actions)) > 0; attempt++ {
				forward := actionsOf[Forward](actions)[0]
				forwards[forward.Endpoint]++
				if s.router.endpoints.byID[forward.Endpoint].role == RolePrefill {
					actions = s.finishPrefill(forward, attempt)
					continue
				}
				actions = s.handle(20*ms, Outcome{
					ID: id, Attempt: attempt, Endpoint: forward.Endpoint, Result: OK,
					Elapsed: 20 * ms, Final: true,
				})
			}
		}
	}
	return forwards
}
